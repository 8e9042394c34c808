#include "controller/append_queue.h"
#include "records/record_builder.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

namespace
{

controller_settings settingsOf(const std::string &incarnation)
{
    controller_settings settings;
    settings.incarnation = incarnation_id(incarnation);
    return settings;
}

std::vector<append_records> appendsOf(controller_context &context)
{
    std::vector<append_records> result;
    for (const controller_action &action : context.takeActions()) {
        if (const auto *append = std::get_if<append_records>(&action)) {
            result.push_back(*append);
        }
    }
    return result;
}

void advance(controller_context &context, int milliseconds)
{
    context.now += std::chrono::milliseconds(milliseconds);
}

} // namespace

// Guards against a retry before the first append is known to be missing, and against a retry under another id.
Test(append_queue, unknown_append_is_retried_with_the_same_id_only_after_a_later_read)
{
    controller_context context(settingsOf("a#1"));
    append_queue queue(context);
    queue.add(confirmersSettledRecord(1));
    queue.flush();
    const std::vector<append_records> first = appendsOf(context);
    cr_assert(first.size() == 1);
    const monotonic_time readBefore = context.now;
    advance(context, 10);
    queue.handleResult(append_result{ first[0].operation, make_error_code(result_code::append_unknown), {} });
    queue.logEndReached(readBefore);
    advance(context, 300);
    queue.flush();
    cr_expect(appendsOf(context).empty(), "retried on the evidence of a read that began too early");
    queue.logEndReached(context.now);
    queue.flush();
    const std::vector<append_records> second = appendsOf(context);
    cr_assert(second.size() == 1);
    cr_expect(second[0].records == first[0].records);
}

// Guards against a retry of an append whose records were already replayed.
Test(append_queue, replayed_record_is_not_appended_again)
{
    controller_context context(settingsOf("a#1"));
    append_queue queue(context);
    const std::uint64_t sequence = queue.add(confirmersSettledRecord(1));
    queue.flush();
    const std::vector<append_records> first = appendsOf(context);
    queue.handleResult(append_result{ first.at(0).operation, make_error_code(result_code::append_unknown), {} });
    queue.ownRecordReplayed(sequence);
    advance(context, 500);
    queue.logEndReached(context.now);
    queue.flush();
    cr_expect(appendsOf(context).empty());
    cr_expect(queue.size() == 0);
}

// Guards against a cancelled record that reaches the log later: a server could be declared lost while it holds a new lease.
Test(append_queue, record_that_may_be_in_the_log_cannot_be_cancelled)
{
    controller_context context(settingsOf("a#1"));
    append_queue queue(context);
    const std::uint64_t sequence = queue.add(confirmersSettledRecord(1));
    queue.flush();
    cr_expect_not(queue.cancel(sequence));
    const std::vector<append_records> first = appendsOf(context);
    queue.handleResult(append_result{ first.at(0).operation, make_error_code(result_code::append_failed), {} });
    cr_expect(queue.cancel(sequence));
}

// Guards against one append for each record, which would exceed the rate limit of the log when a zone is lost.
Test(append_queue, records_of_one_event_share_an_append)
{
    controller_context context(settingsOf("a#1"));
    append_queue queue(context);
    for (std::uint64_t i = 0; i < 15; ++i) {
        queue.add(confirmersSettledRecord(i));
    }
    queue.flush();
    queue.flush();
    const std::vector<append_records> appends = appendsOf(context);
    cr_assert(appends.size() == 1);
    cr_expect(appends[0].records.size() == 15);
}
