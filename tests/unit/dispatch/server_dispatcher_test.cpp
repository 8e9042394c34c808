#include "dispatcher_driver.h"

#include "routing/hash_slots.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamoretray;
using namespace std::chrono_literals;

// Guards against "not run" for an idempotent request that waits for its retry when the deadline passes.
Test(outcome, sent_request_is_never_answered_not_run)
{
    dispatcher_driver driver;
    driver.endSlowStart();
    const dispatch_request first = driver.request();
    driver.handle(first);
    driver.handle(valid_until_changed{ home_term(7), driver.now });
    driver.handle(attempt_failed{ first.id, true, result_code::server_connection_lost });
    cr_expect_not(driver.outcome(first.id).has_value());
    driver.advance(11s);
    cr_expect(driver.outcome(first.id) == result_code::server_connection_lost);
    const dispatch_request never = driver.request();
    driver.handle(never);
    driver.advance(11s);
    cr_expect(driver.outcome(never.id) == result_code::deadline_expired);
}

// Guards against transferring a request that waits for its retry: another home could answer it "not run".
Test(outcome, retried_request_is_not_handed_over)
{
    dispatcher_driver driver;
    driver.endSlowStart();
    const dispatch_request tried = driver.request();
    driver.handle(tried);
    driver.handle(attempt_failed{ tried.id });
    driver.handle(valid_until_changed{ home_term(7), driver.now });
    const dispatch_request queued = driver.request();
    driver.handle(queued);
    const auto taken = driver.dispatcher.takeQueued({});
    cr_assert(taken.size() == 1);
    cr_expect(taken.front().id == queued.id);
    driver.advance(1ms);
    cr_expect(driver.outcome(tried.id) == result_code::server_connection_lost);
    cr_expect(driver.dispatcher.queuedCount() == 0);
}

// Guards against a second run of a non-idempotent request, and against retries without limit.
Test(retry, only_idempotent_requests_within_the_budget)
{
    dispatcher_driver driver({ .crashLimit = 1000 });
    driver.endSlowStart();
    const dispatch_request nonIdempotentRequest = driver.nonIdempotentRequest("a");
    driver.handle(nonIdempotentRequest);
    driver.handle(attempt_failed{ nonIdempotentRequest.id });
    driver.advance(1s);
    cr_expect(driver.timesSent(nonIdempotentRequest.id) == 1);
    const dispatch_request idempotent = driver.request();
    driver.handle(idempotent);
    while (!driver.outcome(idempotent.id)) {
        driver.handle(attempt_failed{ idempotent.id });
        driver.advance(700ms);
    }
    // 42 requests at 10 % allow four retries.
    cr_expect(driver.timesSent(idempotent.id) == 5);
}

// Guards against long requests that occupy every worker slot, and against long requests that never run while short ones wait.
Test(queue, long_requests_leave_a_slot_to_short_ones)
{
    dispatcher_driver driver({ .workerSlots = 3 });
    driver.endSlowStart();
    const auto longRequest = [&driver] {
        dispatch_request result = driver.request();
        result.requestClass = 1;
        result.deadline = driver.now + 1h;
        return result;
    };
    for (int i = 0; i < 4; ++i) {
        const dispatch_request each = longRequest();
        driver.handle(each);
        driver.answer(each.id, 500ms);
    }
    for (int i = 0; i < 4; ++i) {
        driver.handle(longRequest());
    }
    cr_expect(driver.running().size() == 2);
    cr_expect(driver.dispatcher.longCount() == 4);
    const dispatch_request quick = driver.request();
    driver.handle(quick);
    cr_expect(driver.timesSent(quick.id) == 1);
}

// Guards against queueing requests that cannot be served before their deadline.
Test(admission, request_that_cannot_meet_its_deadline_is_refused_at_once)
{
    dispatcher_driver driver({ .workerSlots = 1 });
    driver.endSlowStart();
    for (int i = 0; i < 20; ++i) {
        driver.handle(driver.request());
    }
    dispatch_request shortDeadline = driver.request();
    shortDeadline.deadline = driver.now + 100ms;
    driver.handle(shortDeadline);
    cr_expect(driver.outcome(shortDeadline.id) == result_code::deadline_unreachable);
    cr_expect(driver.dispatcher.expectedDelay(0) >= 190ms);
}

// Guards against a backlog that grows without limit while the server is unreachable, and one that a single customer fills.
Test(admission, backlog_is_bounded_and_shared)
{
    dispatcher_driver driver({ .queuedRequests = 10, .queuedBytes = 950 });
    driver.handle(valid_until_changed{ home_term(7), driver.now });
    std::vector<dispatch_id> flood;
    for (int i = 0; i < 12; ++i) {
        const dispatch_request each = driver.request();
        flood.push_back(each.id);
        driver.handle(each);
    }
    cr_expect(driver.dispatcher.queuedCount() == 9);
    cr_expect(driver.outcome(flood[9]) == result_code::queue_full);
    dispatch_request other = driver.request();
    other.customer = customer_id("other");
    driver.handle(other);
    cr_expect_not(driver.outcome(other.id).has_value());
    cr_expect(driver.outcome(flood[8]) == result_code::customer_over_share);
}

// Guards against a planned move that completes before a request in flight, and against requests that fail during the move.
Test(hold, slots_wait_and_are_released)
{
    dispatcher_driver driver;
    driver.endSlowStart();
    const dispatch_request before = driver.request();
    driver.handle(before);
    driver.handle(slots_held{ { slotOfKey("k") } });
    cr_expect(driver.actionsOf<held_slots_idle>().empty());
    const dispatch_request during = driver.request();
    driver.handle(during);
    const dispatch_request elsewhere = driver.request("another");
    driver.handle(elsewhere);
    cr_expect(driver.timesSent(during.id) == 0);
    cr_expect(driver.timesSent(elsewhere.id) == 1);
    driver.answer(before.id);
    cr_expect(driver.actionsOf<held_slots_idle>().size() == 1);
    driver.handle(slots_released{ { slotOfKey("k") } });
    cr_expect(driver.timesSent(during.id) == 1);
}

// Guards against a request that crashes a server repeatedly, and against refusing one that ran at the same time.
Test(crash, bad_request_is_refused_after_two_crashes)
{
    dispatcher_driver driver({ .workerSlots = 3 });
    driver.endSlowStart();
    const dispatch_request bad = driver.request();
    const dispatch_request good = driver.request();
    driver.handle(bad);
    driver.handle(good);
    cr_expect(driver.running().size() == 2);
    driver.handle(attempt_failed{ bad.id });
    driver.handle(attempt_failed{ good.id });
    for (int i = 0; i < 100; ++i) {
        // Other requests keep the server busy, so that a suspect has to wait until it can run alone.
        driver.handle(driver.request());
        driver.handle(driver.request());
        for (const dispatch_id suspect : { bad.id, good.id }) {
            const auto &running = driver.running();
            cr_expect(std::find(running.begin(), running.end(), suspect) == running.end() || running.size() == 1, "a suspect runs beside others");
        }
        const dispatch_id id = driver.running().empty() ? dispatch_id() : driver.running().front();
        if (id == bad.id) {
            driver.handle(attempt_failed{ id });
        } else if (id != dispatch_id()) {
            driver.answer(id);
        }
        driver.advance(1ms);
    }
    cr_expect(driver.timesSent(bad.id) == 2);
    cr_expect(driver.outcome(good.id) == result_code::ok);
    cr_expect(driver.outcome(bad.id) == result_code::server_connection_lost);
    dispatch_request again = driver.request();
    again.fingerprint = bad.fingerprint;
    driver.handle(again);
    cr_expect(driver.outcome(again.id) == result_code::crash_suspect);
    cr_expect(driver.actionsOf<report_crash>().back().crashes == 2);
    driver.advance(10min);
    dispatch_request later = driver.request();
    later.fingerprint = bad.fingerprint;
    driver.handle(later);
    cr_expect_not(driver.outcome(later.id).has_value());
}

// Guards against a third crash at another server: crashes counted by other homes are part of the total.
Test(crash, counts_of_other_homes_are_included)
{
    dispatcher_driver driver;
    const dispatch_request bad = driver.request();
    driver.handle(crashes_reported{ bad.fingerprint, 1, 10min });
    driver.handle(bad);
    driver.handle(attempt_failed{ bad.id });
    cr_expect(driver.outcome(bad.id) == result_code::server_connection_lost);
    cr_expect(driver.actionsOf<report_crash>().back().crashes == 2);
    const dispatch_request other = driver.request();
    driver.handle(crashes_reported{ other.fingerprint, 2, 10min });
    driver.handle(other);
    cr_expect(driver.outcome(other.id) == result_code::crash_suspect);
}

// Guards against running a suspect at the same time as other requests, which its crash would interrupt.
Test(crash, suspect_runs_alone)
{
    dispatcher_driver driver({ .workerSlots = 3 });
    driver.endSlowStart();
    const dispatch_request before = driver.request();
    driver.handle(before);
    const dispatch_request suspect = driver.request();
    driver.handle(crashes_reported{ suspect.fingerprint, 1, 10min });
    driver.handle(suspect);
    const dispatch_request after = driver.request();
    driver.handle(after);
    cr_expect(driver.timesSent(suspect.id) == 0);
    driver.answer(before.id);
    while (driver.timesSent(suspect.id) == 0 && !driver.running().empty()) {
        driver.answer(driver.running().front());
    }
    cr_expect(driver.running() == std::vector<dispatch_id>{ suspect.id });
    const dispatch_request beside = driver.request();
    driver.handle(beside);
    cr_expect(driver.timesSent(beside.id) == 0);
    driver.answer(suspect.id);
    cr_expect(driver.timesSent(beside.id) == 1);
}

// Guards against work for callers that have disconnected.
Test(cancellation, queued_and_running_requests_are_cancelled)
{
    dispatcher_driver driver({ .workerSlots = 1 });
    const dispatch_request running = driver.request();
    const dispatch_request queued = driver.request();
    driver.handle(running);
    driver.handle(queued);
    driver.handle(caller_disconnected{ queued.id });
    driver.handle(caller_disconnected{ running.id });
    cr_expect(outcomeClass(*driver.outcome(queued.id)) == request_outcome_class::not_run);
    cr_expect(outcomeClass(*driver.outcome(running.id)) == request_outcome_class::unknown);
    cr_expect(driver.actionsOf<cancel_request>().size() == 1);
    driver.answer(running.id);
    cr_expect(driver.timesSent(queued.id) == 0);
}

// Guards against a burst of requests to a server that has just started.
Test(slow_start, cold_server_gets_one_request_at_first)
{
    dispatcher_driver driver({ .workerSlots = 3 });
    for (int i = 0; i < 5; ++i) {
        driver.handle(driver.request());
    }
    cr_expect(driver.running().size() == 1);
    driver.answer(driver.running().front());
    cr_expect(driver.running().size() == 2);
    driver.answer(driver.running().front());
    cr_expect(driver.running().size() == 3);
}

// Guards against dispatch after the lease of the home may have expired.
Test(validity, nothing_is_sent_after_the_limit)
{
    dispatcher_driver driver;
    driver.handle(valid_until_changed{ home_term(9), driver.now + 50ms });
    driver.advance(50ms);
    const dispatch_request late = driver.request();
    driver.handle(late);
    cr_expect(driver.timesSent(late.id) == 0);
    driver.handle(valid_until_changed{ home_term(9), driver.now + 1s });
    cr_assert(driver.timesSent(late.id) == 1);
    cr_expect(driver.actionsOf<send_request>().back().term == home_term(9));
    cr_expect(driver.actionsOf<send_request>().back().timeLeft == 10s);
}
