#include "dispatcher_driver.h"

#include "routing/hash_slots.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

// Guards against a second run when a caller repeats an id after the answer.
Test(at_most_once, repeat_of_finished_id_gets_the_same_answer)
{
    dispatcher_driver driver;
    const dispatch_request first = driver.booking("a");
    driver.give(first);
    driver.answer(first.id);
    dispatch_request again = driver.booking("a");
    driver.give(again);
    cr_expect(driver.outcome(again.id) == result_code::ok);
    cr_expect(driver.answerOf(again.id) == driver.answerOf(first.id));
    cr_expect(driver.timesSent(again.id) == 0);
}

// Guards against a second run, or a wrong "not run", when a repeat comes while the first request runs.
Test(at_most_once, repeat_of_running_id_waits_for_the_answer)
{
    dispatcher_driver driver;
    const dispatch_request first = driver.booking("a");
    driver.give(first);
    const dispatch_request again = driver.booking("a");
    driver.give(again);
    dispatch_request hasty = driver.booking("a");
    hasty.deadline = driver.now + 5ms;
    driver.give(hasty);
    driver.give(caller_gone{ first.id });
    cr_expect(driver.outcome(first.id) == result_code::deadline_while_running);
    cr_expect(driver.actionsOf<cancel_request>().empty());
    driver.answer(first.id, 20ms);
    cr_expect(driver.outcome(hasty.id) == result_code::repeat_unsettled);
    cr_expect(driver.outcome(again.id) == result_code::ok);
    cr_expect(driver.timesSent(again.id) == 0);
}

// Guards against "not run" for the first caller of a queued id that later runs for its repeat.
Test(at_most_once, repeat_takes_the_place_of_a_caller_that_is_gone)
{
    dispatcher_driver driver({ .workerSlots = 1 });
    const dispatch_request running = driver.request();
    driver.give(running);
    const dispatch_request first = driver.booking("a");
    driver.give(first);
    const dispatch_request again = driver.booking("a");
    driver.give(again);
    driver.give(caller_gone{ first.id });
    cr_expect(driver.outcome(first.id) == result_code::repeat_unsettled);
    driver.answer(running.id);
    cr_expect(driver.timesSent(again.id) == 1);
    driver.answer(again.id);
    cr_expect(driver.outcome(again.id) == result_code::ok);
    cr_expect(driver.dispatcher.queuedCount() == 0);
}

// Guards against running an id that the previous home may have run, and one that is older than the memory.
Test(at_most_once, ids_from_before_the_takeover_or_the_window_never_run)
{
    dispatcher_driver driver;
    dispatch_request early = driver.booking("early");
    early.created = wall_time(1'999'000s + 499ms);
    driver.wallNow = wall_time(1'999'001s);
    driver.give(early);
    cr_expect(driver.outcome(early.id) == result_code::request_id_before_takeover);
    const dispatch_request ran = driver.booking("ran");
    driver.give(ran);
    driver.answer(ran.id);
    driver.advance(11min);
    dispatch_request old = driver.booking("ran");
    old.created = ran.created;
    driver.give(old);
    cr_expect(driver.outcome(old.id) == result_code::request_id_expired);
    // The wall clock steps back by an hour: the forgotten id must not look young again.
    driver.wallNow -= 1h;
    old = driver.booking("ran");
    old.created = ran.created;
    driver.give(old);
    cr_expect(driver.outcome(old.id) == result_code::request_id_expired);
}

// Guards against a lost outcome of an interrupted request, whose repeat would run again.
Test(at_most_once, repeat_of_an_interrupted_id_stays_unknown)
{
    dispatcher_driver driver;
    const dispatch_request first = driver.booking("a");
    driver.give(first);
    driver.give(attempt_failed{ first.id, true, result_code::answer_truncated });
    cr_expect(driver.outcome(first.id) == result_code::answer_truncated);
    const dispatch_request again = driver.booking("a");
    driver.give(again);
    cr_expect(driver.outcome(again.id) == result_code::answer_truncated);
    // A refused attempt certainly did not run, so its id may.
    const dispatch_request refused = driver.booking("b");
    driver.give(refused);
    driver.give(server_refused{ refused.id });
    cr_expect(driver.outcome(refused.id) == result_code::refused_by_server);
    const dispatch_request retried = driver.booking("b");
    driver.give(retried);
    cr_expect(driver.timesSent(retried.id) == 1);
}

// Guards against memory that grows with the number of ids or the size of answers, and against a rerun of a dropped answer.
Test(at_most_once, memory_is_bounded)
{
    dispatcher_driver driver({ .duplicateEntries = 4, .duplicateAnswerBytes = 25 });
    for (int i = 0; i < 4; ++i) {
        const dispatch_request each = driver.booking("id" + std::to_string(i));
        driver.give(each);
        driver.answer(each.id);
    }
    const dispatch_request full = driver.booking("more");
    driver.give(full);
    cr_expect(driver.outcome(full.id) == result_code::duplicate_table_full);
    const dispatch_request oldest = driver.booking("id0");
    driver.give(oldest);
    cr_expect(driver.outcome(oldest.id) == result_code::answer_forgotten);
    const dispatch_request newest = driver.booking("id3");
    driver.give(newest);
    cr_expect(driver.outcome(newest.id) == result_code::ok);
}

// Guards against a second run after a planned move, at the new home of the slot.
Test(at_most_once, memory_moves_with_the_slots)
{
    dispatcher_driver from;
    const dispatch_request done = from.booking("done");
    from.give(done);
    from.answer(done.id);
    const dispatch_request open = from.booking("open");
    from.give(open);
    dispatcher_driver to;
    const std::vector<hash_slot> slots{ slotOfKey("k") };
    to.dispatcher.importDuplicates(from.dispatcher.exportDuplicates(slots), slots);
    const dispatch_request repeatDone = to.booking("done");
    to.give(repeatDone);
    cr_expect(to.outcome(repeatDone.id) == result_code::ok);
    const dispatch_request repeatOpen = to.booking("open");
    to.give(repeatOpen);
    cr_expect(to.outcome(repeatOpen.id) == result_code::request_id_before_takeover);
    // Slots gained without a transfer: nothing is known about ids created before.
    to.dispatcher.importDuplicates({ {}, {}, to.wallNow }, slots);
    const dispatch_request unknown = to.booking("unknown");
    to.give(unknown);
    cr_expect(to.outcome(unknown.id) == result_code::request_id_before_takeover);
}

namespace
{

/** Memory of a former home that ran @p id. */
dispatch_transfer memoryOf(const dispatch_request &request)
{
    dispatch_transfer memory;
    memory.duplicates.push_back({ request.requestId, request.key, request.created, true, nullptr, 0 });
    return memory;
}

} // namespace

// Guards against "unknown" for requests that reach a new home a moment before the passed-on memory.
Test(passed_on_memory, request_that_arrives_before_it_waits)
{
    dispatcher_driver driver;
    const dispatch_request request = driver.booking("a");
    driver.dispatcher.importDuplicates({ {}, {}, driver.wallNow }, { request.slot });
    driver.dispatcher.expectDuplicates({ request.slot }, driver.now + 300ms);
    driver.give(request);
    driver.advance(20ms);
    cr_expect_not(driver.outcome(request.id).has_value());
    driver.dispatcher.importDuplicates({}, { request.slot });
    driver.advance(1ms);
    cr_expect(driver.timesSent(request.id) == 1);
}

// Guards against a second run of what the former home has run.
Test(passed_on_memory, waiting_request_does_not_run_again)
{
    dispatcher_driver driver;
    const dispatch_request request = driver.booking("a");
    driver.dispatcher.importDuplicates({ {}, {}, driver.wallNow }, {});
    driver.dispatcher.expectDuplicates({}, driver.now + 300ms);
    driver.give(request);
    driver.dispatcher.importDuplicates(memoryOf(request), {});
    driver.advance(1ms);
    cr_expect(driver.outcome(request.id) == result_code::answer_forgotten);
    cr_expect(driver.timesSent(request.id) == 0);
}

// Guards against a request that waits for memory which never comes, and against "not run" for it.
Test(passed_on_memory, request_is_unknown_when_none_arrives_in_time)
{
    dispatcher_driver driver;
    const dispatch_request patient = driver.booking("a");
    dispatch_request hasty = driver.booking("b");
    hasty.deadline = driver.now + 100ms;
    const dispatch_request gone = driver.booking("c");
    driver.dispatcher.importDuplicates({ {}, {}, driver.wallNow }, {});
    driver.dispatcher.expectDuplicates({}, driver.now + 300ms);
    driver.give(patient);
    driver.give(hasty);
    driver.give(gone);
    driver.give(caller_gone{ gone.id });
    cr_expect(driver.outcome(gone.id) == result_code::request_id_before_takeover);
    driver.advance(100ms);
    cr_expect(driver.outcome(hasty.id) == result_code::request_id_before_takeover);
    cr_expect_not(driver.outcome(patient.id).has_value());
    driver.advance(200ms);
    cr_expect(driver.outcome(patient.id) == result_code::request_id_before_takeover);
}

// Guards against requests that are lost when their slots move on while they wait.
Test(passed_on_memory, waiting_requests_are_handed_on)
{
    dispatcher_driver driver;
    const dispatch_request request = driver.booking("a");
    driver.dispatcher.importDuplicates({ {}, {}, driver.wallNow }, { request.slot });
    driver.dispatcher.expectDuplicates({ request.slot }, driver.now + 300ms);
    driver.give(request);
    const auto taken = driver.dispatcher.takeQueued({ request.slot });
    cr_assert(taken.size() == 1);
    cr_expect(taken.front().id == request.id);
}
