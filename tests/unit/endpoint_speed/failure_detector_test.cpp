#include "endpoint_speed/failure_detector.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr monotonic_time start{ 100s };
const network_address first("10.0.1.1:1");
const network_address second("10.0.1.2:1");

endpoint_incarnation endpoint(std::size_t index)
{
    return { endpoint_id("e" + std::to_string(index)), 1, {} };
}

/** A queue of some endpoints. */
struct queue {
    explicit queue(std::size_t endpoints)
    {
        std::vector<endpoint_incarnation> all;
        for (std::size_t i = 0; i < endpoints; ++i) {
            all.push_back(endpoint(i));
        }
        detector.setEndpoints(all);
    }

    failure_detector detector;

    void attempt(std::size_t index, const network_address &sender, attempt_outcome outcome, monotonic_time now)
    {
        detector.sent(endpoint(index));
        detector.ended(endpoint(index), { sender, now }, outcome, now);
    }

    void fail(std::size_t index, std::size_t times, attempt_outcome outcome, monotonic_time now)
    {
        for (std::size_t i = 0; i < times; ++i) {
            attempt(index, i % 2 == 0 ? first : second, outcome, now);
        }
    }
};

} // namespace

// Guards against an endpoint that fails fast and goes on to get requests, and against one that never gets any again.
Test(failure_detector, failing_endpoint_gets_single_requests_until_it_works)
{
    queue queue(6);
    queue.attempt(0, first, attempt_outcome::no_response, start);
    cr_expect(!queue.detector.isEjected(endpoint(0)), "after a single failure");
    queue.attempt(0, second, attempt_outcome::no_response, start);
    cr_assert(queue.detector.isEjected(endpoint(0)));
    cr_expect(!queue.detector.isTrialDue(endpoint(0), true, start + 499ms));
    cr_assert(queue.detector.isTrialDue(endpoint(0), true, start + 500ms));
    cr_expect(!queue.detector.isTrialDue(endpoint(0), false, start + 2s), "the trial has to wait for an idempotent request");
    cr_expect(queue.detector.isTrialDue(endpoint(0), false, start + 2500ms), "no idempotent request came");
    queue.detector.sent(endpoint(0));
    cr_expect(!queue.detector.isTrialDue(endpoint(0), true, start + 600ms), "a second request at a time");
    queue.detector.ended(endpoint(0), { first, start + 500ms }, attempt_outcome::no_response, start + 600ms);
    cr_expect(!queue.detector.isTrialDue(endpoint(0), true, start + 1599ms), "the pause has to double");
    monotonic_time now = start + 1600ms;
    for (int i = 0; i < 3; ++i) {
        cr_assert(queue.detector.isTrialDue(endpoint(0), true, now));
        queue.attempt(0, first, attempt_outcome::succeeded, now += 50ms);
    }
    cr_expect(!queue.detector.isEjected(endpoint(0)));
    const std::vector<ejection_change> changes = queue.detector.takeChanges();
    cr_assert_eq(changes.size(), 2U);
    cr_expect(changes[0].ejected && changes[0].failures == 2 && changes[0].pause == 500ms);
    cr_expect(!changes[1].ejected);
}

// Guards against a pause that grows because of requests that were sent before the ejection and fail at the same time.
Test(failure_detector, earlier_requests_do_not_prolong_the_pause)
{
    queue queue(6);
    queue.fail(0, 2, attempt_outcome::timed_out, start);
    for (int i = 0; i < 5; ++i) {
        queue.detector.ended(endpoint(0), { first, start - 100ms }, attempt_outcome::timed_out, start + 10ms);
    }
    cr_expect(queue.detector.isTrialDue(endpoint(0), true, start + 500ms));
}

// Guards against an ejection for what is no failure of the endpoint.
Test(failure_detector, full_endpoints_and_withdrawn_requests_do_not_count)
{
    queue queue(6);
    queue.fail(0, 20, attempt_outcome::refused_when_full, start);
    queue.fail(1, 20, attempt_outcome::inconclusive, start);
    cr_expect_eq(queue.detector.ejected(), 0U);
    queue.fail(2, 2, attempt_outcome::refused_with_free_slots, start);
    cr_expect(queue.detector.isEjected(endpoint(2)));
}

// Guards against endpoints that are ejected because one sender has lost its path.
Test(failure_detector, sender_without_responses_ejects_nothing)
{
    queue queue(6);
    for (std::size_t i = 0; i < 6; ++i) {
        queue.attempt(i, second, attempt_outcome::succeeded, start);
    }
    for (int i = 0; i < 10; ++i) {
        queue.attempt(0, first, attempt_outcome::no_response, start);
    }
    cr_expect_eq(queue.detector.ejected(), 0U);
    queue.attempt(1, first, attempt_outcome::succeeded, start + 10ms);
    queue.attempt(0, first, attempt_outcome::no_response, start + 20ms);
    cr_expect(queue.detector.isEjected(endpoint(0)), "another endpoint answers the sender");
}

// Guards against a service that ends, or against alternating ejections, when all its endpoints fail.
Test(failure_detector, at_most_a_third_is_ejected)
{
    queue all(9);
    for (int round = 0; round < 50; ++round) {
        for (std::size_t i = 0; i < 9; ++i) {
            all.fail(i, 2, attempt_outcome::no_response, start + round * 10ms);
        }
    }
    cr_expect_eq(all.detector.ejected(), 3U);
    cr_expect(all.detector.takeChanges().size() < 60);
    queue pair(2);
    pair.fail(0, 2, attempt_outcome::no_response, start);
    pair.fail(1, 2, attempt_outcome::no_response, start);
    cr_expect_eq(pair.detector.ejected(), 1U);
    queue single(1);
    single.fail(0, 9, attempt_outcome::no_response, start);
    cr_expect_eq(single.detector.ejected(), 0U);
}

// Guards against an ejection for single requests that an endpoint cannot process.
Test(failure_detector, server_errors_count_if_they_are_most_of_the_last_answers)
{
    queue queue(6);
    for (int i = 0; i < 40; ++i) {
        queue.attempt(0, first, i % 2 == 0 ? attempt_outcome::server_error : attempt_outcome::succeeded, start);
    }
    cr_expect(!queue.detector.isEjected(endpoint(0)));
    queue.fail(0, 4, attempt_outcome::server_error, start);
    cr_expect(queue.detector.isEjected(endpoint(0)));
}
