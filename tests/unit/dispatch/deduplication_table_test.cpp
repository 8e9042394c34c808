#include "dispatcher_driver.h"

#include "routing/hash_slots.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

// Guards against a second run when a caller sends an id again after the answer.
Test(at_most_once, duplicate_of_finished_id_gets_the_same_answer)
{
    dispatcher_driver driver;
    const dispatch_request first = driver.nonIdempotentRequest("a");
    driver.handle(first);
    driver.answer(first.id);
    dispatch_request again = driver.nonIdempotentRequest("a");
    driver.handle(again);
    cr_expect(driver.outcome(again.id) == result_code::ok);
    cr_expect(driver.answerOf(again.id) == driver.answerOf(first.id));
    cr_expect(driver.timesSent(again.id) == 0);
}

// Guards against a second run, or a wrong "not run", when a duplicate arrives while the first request runs.
Test(at_most_once, duplicate_of_running_id_waits_for_the_answer)
{
    dispatcher_driver driver;
    const dispatch_request first = driver.nonIdempotentRequest("a");
    driver.handle(first);
    const dispatch_request again = driver.nonIdempotentRequest("a");
    driver.handle(again);
    dispatch_request shortDeadline = driver.nonIdempotentRequest("a");
    shortDeadline.deadline = driver.now + 5ms;
    driver.handle(shortDeadline);
    driver.handle(caller_disconnected{ first.id });
    cr_expect(driver.outcome(first.id) == result_code::deadline_while_running);
    cr_expect(driver.actionsOf<cancel_request>().empty());
    driver.answer(first.id, 20ms);
    cr_expect(driver.outcome(shortDeadline.id) == result_code::repeat_unsettled);
    cr_expect(driver.outcome(again.id) == result_code::ok);
    cr_expect(driver.timesSent(again.id) == 0);
}

// Guards against "not run" for the first caller of a queued id that later runs for a duplicate.
Test(at_most_once, duplicate_replaces_request_of_disconnected_caller)
{
    dispatcher_driver driver({ .workerSlots = 1 });
    const dispatch_request running = driver.request();
    driver.handle(running);
    const dispatch_request first = driver.nonIdempotentRequest("a");
    driver.handle(first);
    const dispatch_request again = driver.nonIdempotentRequest("a");
    driver.handle(again);
    driver.handle(caller_disconnected{ first.id });
    cr_expect(driver.outcome(first.id) == result_code::repeat_unsettled);
    driver.answer(running.id);
    cr_expect(driver.timesSent(again.id) == 1);
    driver.answer(again.id);
    cr_expect(driver.outcome(again.id) == result_code::ok);
    cr_expect(driver.dispatcher.queuedCount() == 0);
}

// Guards against running an id that the previous home may have run, and one older than the deduplication window.
Test(at_most_once, ids_from_before_the_takeover_or_the_window_never_run)
{
    dispatcher_driver driver;
    dispatch_request early = driver.nonIdempotentRequest("early");
    early.created = wall_time(1'999'000s + 499ms);
    driver.wallNow = wall_time(1'999'001s);
    driver.handle(early);
    cr_expect(driver.outcome(early.id) == result_code::request_id_before_takeover);
    const dispatch_request ran = driver.nonIdempotentRequest("ran");
    driver.handle(ran);
    driver.answer(ran.id);
    driver.advance(11min);
    dispatch_request old = driver.nonIdempotentRequest("ran");
    old.created = ran.created;
    driver.handle(old);
    cr_expect(driver.outcome(old.id) == result_code::request_id_expired);
    // After the wall clock steps back by an hour, the removed id must not count as recent again.
    driver.wallNow -= 1h;
    old = driver.nonIdempotentRequest("ran");
    old.created = ran.created;
    driver.handle(old);
    cr_expect(driver.outcome(old.id) == result_code::request_id_expired);
}

// Guards against losing the outcome of an interrupted request, whose duplicate would then run.
Test(at_most_once, duplicate_of_interrupted_id_gets_unknown_outcome)
{
    dispatcher_driver driver;
    const dispatch_request first = driver.nonIdempotentRequest("a");
    driver.handle(first);
    driver.handle(attempt_failed{ first.id, true, result_code::answer_truncated });
    cr_expect(driver.outcome(first.id) == result_code::answer_truncated);
    const dispatch_request again = driver.nonIdempotentRequest("a");
    driver.handle(again);
    cr_expect(driver.outcome(again.id) == result_code::answer_truncated);
    // A refused attempt certainly did not run, so its id may run.
    const dispatch_request refused = driver.nonIdempotentRequest("b");
    driver.handle(refused);
    driver.handle(server_refused{ refused.id });
    cr_expect(driver.outcome(refused.id) == result_code::refused_by_server);
    const dispatch_request retried = driver.nonIdempotentRequest("b");
    driver.handle(retried);
    cr_expect(driver.timesSent(retried.id) == 1);
}

// Guards against memory use that grows with the number of ids or the size of answers, and against running an id again
// whose answer was dropped.
Test(at_most_once, deduplication_table_is_bounded)
{
    dispatcher_driver driver({ .deduplicationEntries = 4, .duplicateAnswerBytes = 25 });
    for (int i = 0; i < 4; ++i) {
        const dispatch_request each = driver.nonIdempotentRequest("id" + std::to_string(i));
        driver.handle(each);
        driver.answer(each.id);
    }
    const dispatch_request full = driver.nonIdempotentRequest("more");
    driver.handle(full);
    cr_expect(driver.outcome(full.id) == result_code::duplicate_table_full);
    const dispatch_request oldest = driver.nonIdempotentRequest("id0");
    driver.handle(oldest);
    cr_expect(driver.outcome(oldest.id) == result_code::answer_forgotten);
    const dispatch_request newest = driver.nonIdempotentRequest("id3");
    driver.handle(newest);
    cr_expect(driver.outcome(newest.id) == result_code::ok);
}

// Guards against a second run after a planned move, at the new home of the slot.
Test(at_most_once, entries_move_with_the_slots)
{
    dispatcher_driver from;
    const dispatch_request done = from.nonIdempotentRequest("done");
    from.handle(done);
    from.answer(done.id);
    const dispatch_request open = from.nonIdempotentRequest("open");
    from.handle(open);
    dispatcher_driver to;
    const std::vector<hash_slot> slots{ slotOfKey("k") };
    to.dispatcher.importDeduplicationEntries(from.dispatcher.exportDeduplicationEntries(slots), slots);
    const dispatch_request duplicateOfDone = to.nonIdempotentRequest("done");
    to.handle(duplicateOfDone);
    cr_expect(to.outcome(duplicateOfDone.id) == result_code::ok);
    const dispatch_request duplicateOfOpen = to.nonIdempotentRequest("open");
    to.handle(duplicateOfOpen);
    cr_expect(to.outcome(duplicateOfOpen.id) == result_code::request_id_before_takeover);
    // Slots gained without a transfer: whether ids created before have run is unknown.
    to.dispatcher.importDeduplicationEntries({ {}, {}, to.wallNow }, slots);
    const dispatch_request unknown = to.nonIdempotentRequest("unknown");
    to.handle(unknown);
    cr_expect(to.outcome(unknown.id) == result_code::request_id_before_takeover);
}

namespace
{

/** Deduplication entries of a former home that has run @p request. */
dispatch_transfer transferOf(const dispatch_request &request)
{
    dispatch_transfer transfer;
    transfer.duplicates.push_back({ request.requestId, request.key, request.created, true, nullptr, 0 });
    return transfer;
}

} // namespace

// Guards against an unknown outcome for requests that reach a new home shortly before the transferred entries.
Test(deduplication_transfer, request_that_arrives_first_waits)
{
    dispatcher_driver driver;
    const dispatch_request request = driver.nonIdempotentRequest("a");
    driver.dispatcher.importDeduplicationEntries({ {}, {}, driver.wallNow }, { request.slot });
    driver.dispatcher.expectDeduplicationEntries({ request.slot }, driver.now + 300ms);
    driver.handle(request);
    driver.advance(20ms);
    cr_expect_not(driver.outcome(request.id).has_value());
    driver.dispatcher.importDeduplicationEntries({}, { request.slot });
    driver.advance(1ms);
    cr_expect(driver.timesSent(request.id) == 1);
}

// Guards against a second run of a request that the former home has run.
Test(deduplication_transfer, waiting_request_does_not_run_again)
{
    dispatcher_driver driver;
    const dispatch_request request = driver.nonIdempotentRequest("a");
    driver.dispatcher.importDeduplicationEntries({ {}, {}, driver.wallNow }, {});
    driver.dispatcher.expectDeduplicationEntries({}, driver.now + 300ms);
    driver.handle(request);
    driver.dispatcher.importDeduplicationEntries(transferOf(request), {});
    driver.advance(1ms);
    cr_expect(driver.outcome(request.id) == result_code::answer_forgotten);
    cr_expect(driver.timesSent(request.id) == 0);
}

// Guards against a request that waits forever for a transfer that never arrives, and against "not run" for it.
Test(deduplication_transfer, outcome_is_unknown_without_transfer_in_time)
{
    dispatcher_driver driver;
    const dispatch_request longDeadline = driver.nonIdempotentRequest("a");
    dispatch_request shortDeadline = driver.nonIdempotentRequest("b");
    shortDeadline.deadline = driver.now + 100ms;
    const dispatch_request disconnected = driver.nonIdempotentRequest("c");
    driver.dispatcher.importDeduplicationEntries({ {}, {}, driver.wallNow }, {});
    driver.dispatcher.expectDeduplicationEntries({}, driver.now + 300ms);
    driver.handle(longDeadline);
    driver.handle(shortDeadline);
    driver.handle(disconnected);
    driver.handle(caller_disconnected{ disconnected.id });
    cr_expect(driver.outcome(disconnected.id) == result_code::request_id_before_takeover);
    driver.advance(100ms);
    cr_expect(driver.outcome(shortDeadline.id) == result_code::request_id_before_takeover);
    cr_expect_not(driver.outcome(longDeadline.id).has_value());
    driver.advance(200ms);
    cr_expect(driver.outcome(longDeadline.id) == result_code::request_id_before_takeover);
}

// Guards against requests that are lost when their slots move to another home while they wait.
Test(deduplication_transfer, waiting_requests_can_be_transferred)
{
    dispatcher_driver driver;
    const dispatch_request request = driver.nonIdempotentRequest("a");
    driver.dispatcher.importDeduplicationEntries({ {}, {}, driver.wallNow }, { request.slot });
    driver.dispatcher.expectDeduplicationEntries({ request.slot }, driver.now + 300ms);
    driver.handle(request);
    const auto taken = driver.dispatcher.takeQueued({ request.slot });
    cr_assert(taken.size() == 1);
    cr_expect(taken.front().id == request.id);
}
