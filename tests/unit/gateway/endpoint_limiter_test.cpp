#include "gateway/endpoint_limiter.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

endpoint_reply refusalOfFullEndpoint()
{
    endpoint_reply reply;
    reply.kind = reply_kind::not_run;
    reply.code = result_code::refused_by_server;
    return reply;
}

/** Number of requests sent within one second to an endpoint that refuses each because it is full. */
int refusalsInOneSecond(endpoint_limiter &limiter, monotonic_time start)
{
    int asked = 0;
    for (monotonic_time now = start; now < start + 1s; now += 1ms) {
        if (limiter.hasCapacity(now)) {
            ++asked;
            limiter.sent(now);
            limiter.failed(refusalOfFullEndpoint(), now);
        }
    }
    return asked;
}

} // namespace

// Load pattern: hot keys at a site with many instances, each of which retries at an endpoint that stays full. Guards against a
// backoff that does not grow.
Test(endpoint_limiter, requests_to_a_full_endpoint_become_rarer)
{
    endpoint_limiter limiter{ listed_endpoint{} };
    const monotonic_time start(10s);
    const int first = refusalsInOneSecond(limiter, start);
    cr_expect(first <= 6, "%d requests in the first second", first);
    const int second = refusalsInOneSecond(limiter, start + 1s);
    cr_expect(second <= 3, "%d requests in the next second", second);
}

// Guards against a backoff that continues although the endpoint has capacity again.
Test(endpoint_limiter, answer_resets_the_backoff_of_a_full_endpoint)
{
    endpoint_limiter limiter{ listed_endpoint{} };
    const monotonic_time start(10s);
    refusalsInOneSecond(limiter, start);
    limiter.sent(start + 1s);
    endpoint_reply answer;
    answer.kind = reply_kind::answered;
    answer.response.status = 200;
    limiter.answered(answer, 50ms, 50ms, start + 1s);
    cr_expect(limiter.hasCapacity(start + 1s));
    limiter.sent(start + 1s);
    limiter.failed(refusalOfFullEndpoint(), start + 1s);
    cr_expect(limiter.hasCapacity(start + 1s + 60ms), "the backoff starts again at its initial value");
}

// Guards against the load and the request limit of another process at the address of an endpoint that are taken for those of the endpoint.
Test(endpoint_limiter, misdirected_request_says_nothing_of_the_endpoint)
{
    endpoint_limiter limiter{ listed_endpoint{} };
    const monotonic_time start(10s);
    limiter.sent(start);
    endpoint_reply answer;
    answer.kind = reply_kind::answered;
    answer.response.status = 200;
    answer.requestLimit = request_rate(5);
    limiter.answered(answer, 50ms, 50ms, start);
    limiter.sent(start);
    endpoint_reply misdirected;
    misdirected.kind = reply_kind::not_run;
    misdirected.misdirected = true;
    misdirected.response.status = 421;
    misdirected.load = endpoint_load{ 9, 9, 2 };
    limiter.failed(misdirected, start);
    cr_expect(limiter.requestLimit() == request_rate(5));
    cr_expect_float_eq(limiter.estimatedLoad(start), 0, 0.001);
}

// Guards against requests to an endpoint that named a time for which it wants none, and against an answer to an earlier request that ends it.
Test(endpoint_limiter, paused_endpoint_gets_no_request)
{
    endpoint_limiter limiter{ listed_endpoint{} };
    const monotonic_time start(10s);
    limiter.sent(start);
    limiter.sent(start);
    endpoint_reply refusal = refusalOfFullEndpoint();
    refusal.response.status = 503;
    refusal.pause = 3s;
    limiter.failed(refusal, start);
    endpoint_reply answer;
    answer.kind = reply_kind::answered;
    answer.response.status = 200;
    limiter.answered(answer, 50ms, 50ms, start + 100ms);
    cr_expect_not(limiter.hasCapacity(start + 2999ms));
    cr_expect(limiter.hasCapacity(start + 3s));
    cr_expect(limiter.blockedUntil() == start + 3s);
}

// Guards against a coordinator that pauses an endpoint for all instances because it refused one of them.
Test(endpoint_limiter, pause_holds_for_the_instance_that_was_refused)
{
    endpoint_limiter limiter(listed_endpoint{}, sender_mode::sole_sender);
    const monotonic_time start(10s);
    limiter.sent(start);
    endpoint_reply refusal = refusalOfFullEndpoint();
    refusal.pause = 3s;
    limiter.failed(refusal, start);
    cr_expect(limiter.hasCapacity(start + 1s));
}
