#include "permits/permit_pool.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr monotonic_time start{ 100s };
const endpoint_incarnation endpoint{ endpoint_id("e"), 1, network_address("10.0.0.1:80") };
const network_address reachable("10.0.1.1:1");
const network_address cutOff("10.0.1.2:1");

/** The queue of one endpoint, with one request in flight at a time. */
struct queue_of_one_endpoint {
    queue_of_one_endpoint()
    {
        listed_endpoint listed;
        listed.entry.incarnation = endpoint;
        listed.entry.workerSlots = 1;
        pool.setEndpoints({ listed });
    }

    permit_pool pool;
    std::uint64_t lastPermit = 0;

    /** Returns whether a request of @p instance is granted at once. */
    std::optional<permit_holder> ask(const network_address &instance, monotonic_time now)
    {
        permit_request request;
        request.id = permit_id(++lastPermit);
        request.owner = endpoint;
        request.typicalRunTime = 50ms;
        request.maxAnswerTime = 1s;
        const permit_holder holder{ instance, request.id };
        pool.enqueue(holder, request, now);
        pool.decide(now);
        if (pool.grantedEndpoint(holder)) {
            return holder;
        }
        pool.release(holder, {}, now);
        return std::nullopt;
    }

    void answer(const permit_holder &holder, monotonic_time now)
    {
        permit_result result;
        result.finished = true;
        result.kind = reply_kind::answered;
        result.status = 200;
        pool.release(holder, result, now);
    }

    void failToSend(const permit_holder &holder, monotonic_time now)
    {
        permit_result result;
        result.finished = true;
        result.kind = reply_kind::not_run;
        result.sent = false;
        pool.release(holder, result, now);
    }
};

} // namespace

// Guards against an endpoint that gets no requests of any instance, because one instance has no path to it.
Test(unreachable_sender, endpoint_that_answers_others_is_not_blocked)
{
    queue_of_one_endpoint queue;
    monotonic_time now = start;
    for (int i = 0; i < 10; ++i) {
        const auto served = queue.ask(reachable, now);
        cr_assert(served.has_value(), "request %d waits", i);
        queue.answer(*served, now += 50ms);
        const auto failed = queue.ask(cutOff, now);
        cr_assert(failed.has_value());
        queue.failToSend(*failed, now += 2ms);
    }
}

// Guards against requests to an endpoint that is lost for all instances.
Test(unreachable_sender, endpoint_that_answers_nobody_is_blocked)
{
    queue_of_one_endpoint queue;
    monotonic_time now = start;
    queue.answer(*queue.ask(reachable, now), now + 50ms);
    now += 1s;
    int granted = 0;
    for (int i = 0; i < 100; ++i) {
        if (const auto failed = queue.ask(i % 2 == 0 ? reachable : cutOff, now)) {
            ++granted;
            queue.failToSend(*failed, now + 1ms);
        }
        now += 10ms;
    }
    cr_expect(granted <= 6, "%d requests in a second", granted);
}

// Guards against an endpoint that counts as slow for all instances, because one that has no path to it gave up requests.
Test(unreachable_sender, request_given_up_without_a_path_does_not_make_the_endpoint_slow)
{
    queue_of_one_endpoint queue;
    monotonic_time now = start;
    for (int i = 0; i < 20; ++i) {
        const auto served = queue.ask(reachable, now);
        cr_assert(served.has_value());
        queue.answer(*served, now += 50ms);
        const auto lost = queue.ask(cutOff, now);
        cr_assert(lost.has_value());
        permit_result result;
        result.sent = false;
        queue.pool.release(*lost, result, now += 900ms);
    }
    // Two are in flight; the third one is expected after two run times of 50 ms, far below 1 s.
    queue.ask(reachable, now);
    queue.ask(reachable, now);
    permit_request request;
    request.id = permit_id(1000);
    request.owner = endpoint;
    request.typicalRunTime = 50ms;
    request.maxAnswerTime = 250ms;
    queue.pool.enqueue({ reachable, request.id }, request, now);
    queue.pool.decide(now);
    cr_expect(queue.pool.knows({ reachable, request.id }), "it was refused, because the endpoint is taken for slow");
}
