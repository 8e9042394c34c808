#include "gateway/endpoint_gate.h"

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

/** Requests that an endpoint refuses within a second because it is full. */
int askedWithinASecond(endpoint_gate &gate, monotonic_time start)
{
    int asked = 0;
    for (monotonic_time now = start; now < start + 1s; now += 1ms) {
        if (gate.hasRoom(now)) {
            ++asked;
            gate.sent();
            gate.failed(refusalOfFullEndpoint(), now);
        }
    }
    return asked;
}

} // namespace

// Load pattern: hot keys at a site with many instances. Each has a request for an endpoint that is full all the time.
Test(endpoint_gate, full_endpoint_is_asked_ever_less)
{
    endpoint_gate gate{ listed_endpoint{} };
    const monotonic_time start(10s);
    const int first = askedWithinASecond(gate, start);
    cr_expect(first <= 6, "%d requests in the first second", first);
    const int second = askedWithinASecond(gate, start + 1s);
    cr_expect(second <= 3, "%d requests in the next second", second);
}

// Guards against an endpoint that is left alone although it has room again.
Test(endpoint_gate, answer_ends_the_wait_for_a_full_endpoint)
{
    endpoint_gate gate{ listed_endpoint{} };
    const monotonic_time start(10s);
    askedWithinASecond(gate, start);
    gate.sent();
    endpoint_reply answer;
    answer.kind = reply_kind::answered;
    answer.response.status = 200;
    gate.answered(answer, 50ms, 50ms, start + 1s);
    cr_expect(gate.hasRoom(start + 1s));
    gate.sent();
    gate.failed(refusalOfFullEndpoint(), start + 1s);
    cr_expect(gate.hasRoom(start + 1s + 60ms), "the first wait is short again");
}
