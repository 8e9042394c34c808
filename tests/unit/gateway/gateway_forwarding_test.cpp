#include "endpoint_emulator.h"
#include "gateway/forwarding_port.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr time_span work = 50ms;

/** Records what is forwarded and lets the test decide about the outcomes. */
class recording_forwarding : public forwarding_port
{
public:
    struct sent_request {
        forward_id id;
        forward_mark mark;
        time_span timeLeft{};
    };
    std::vector<sent_request> sent;
    std::vector<forward_id> aborted;
    bool anyPeer = true;

    bool forward(forward_id id, const gateway_request & /*request*/, const forward_mark &mark, time_span timeLeft) override
    {
        if (anyPeer) {
            sent.push_back({ id, mark, timeLeft });
        }
        return anyPeer;
    }
    void abort(forward_id id) override
    {
        aborted.push_back(id);
    }
};

struct forwarding_fixture {
    explicit forwarding_fixture(std::size_t endpoints = 2, bool dividedByKey = false)
        : simulation(endpoints, dividedByKey)
    {
        simulation.router().setForwarding(peers);
    }

    recording_forwarding peers;
    endpoint_emulator simulation;

    void setIsolated(bool isolated)
    {
        simulation.router().setIsolated(isolated, simulation.now());
    }
    void reply(forward_reply outcome)
    {
        simulation.router().forwarded(peers.sent.back().id, std::move(outcome), simulation.now());
    }
    const emulated_answer &answerOf(std::size_t request) const
    {
        return simulation.answers()[request];
    }
};

forward_answered response(std::uint32_t status, bool refused = false)
{
    forward_answered answered;
    answered.response.status = status;
    answered.refused = refused;
    return answered;
}

} // namespace

// Guards against an isolated instance that sends into the cut or holds requests, and one that goes on forwarding afterwards.
Test(gateway_forwarding, forwards_only_while_isolated)
{
    forwarding_fixture fixture;
    fixture.setIsolated(true);
    const std::size_t first = fixture.simulation.submit(work);
    cr_assert_eq(fixture.peers.sent.size(), 1U);
    cr_expect_eq(fixture.peers.sent.front().mark.attempts, 0U);
    cr_expect(fixture.peers.sent.front().timeLeft == 1s);
    cr_expect(fixture.simulation.sends().empty());
    fixture.reply(response(200));
    cr_expect_eq(fixture.answerOf(first).status, 200U);
    fixture.setIsolated(false);
    const std::size_t second = fixture.simulation.submit(work);
    fixture.simulation.run(200ms);
    cr_expect_eq(fixture.answerOf(second).status, 200U);
    cr_expect_eq(fixture.peers.sent.size(), 1U);
    cr_expect_eq(fixture.simulation.router().unfinished(), 0U);
}

// Guards against requests that wait for their deadline in a queue or for an owner of their key when the instance becomes isolated.
Test(gateway_forwarding, forwards_waiting_requests_at_the_beginning_of_the_isolation)
{
    forwarding_fixture fixture(2, true);
    fixture.simulation.assignFrom(1000, 1, false);
    fixture.simulation.submit(work, 2000);
    cr_expect(fixture.peers.sent.empty());
    fixture.setIsolated(true);
    cr_expect_eq(fixture.peers.sent.size(), 1U);
}

// Guards against requests that wait for an answer out of a silent network until their deadline, and against a second run of one that is
// not idempotent.
Test(gateway_forwarding, repeats_unanswered_idempotent_requests)
{
    forwarding_fixture fixture;
    fixture.simulation.submit(work);
    fixture.simulation.route.idempotent = false;
    fixture.simulation.publish();
    fixture.simulation.submit(work);
    fixture.simulation.run(10ms);
    fixture.setIsolated(true);
    cr_expect(fixture.peers.sent.empty());
    fixture.simulation.router().repeatUnanswered(fixture.simulation.now());
    cr_assert_eq(fixture.peers.sent.size(), 1U);
    cr_expect_eq(fixture.peers.sent.front().mark.attempts, 1U);
}

// Guards against an attempt that found no connection and is then tried at one unreachable endpoint after another.
Test(gateway_forwarding, forwards_an_attempt_that_was_not_sent)
{
    forwarding_fixture fixture;
    for (emulated_endpoint &endpoint : fixture.simulation.endpoints) {
        endpoint.up = false;
    }
    fixture.simulation.submit(work);
    fixture.setIsolated(true);
    cr_expect(fixture.peers.sent.empty());
    fixture.simulation.run(10ms);
    cr_assert_eq(fixture.peers.sent.size(), 1U);
    cr_expect_eq(fixture.peers.sent.front().mark.attempts, 0U);
}

// Guards against a request that two isolated instances pass back and forth.
Test(gateway_forwarding, never_forwards_a_forwarded_request)
{
    forwarding_fixture fixture;
    fixture.setIsolated(true);
    gateway_request request;
    request.id = request_id("x");
    request.host = "h";
    request.path = "/p0/x";
    request.forwarded = forward_mark{};
    result_code code = result_code::ok;
    fixture.simulation.router().submit(
        request,
        [&](const gateway_answer &answer) {
            code = answer.code;
        },
        fixture.simulation.now());
    cr_expect_eq(code, result_code::instance_isolated);
    cr_expect(fixture.peers.sent.empty());
}

// Guards against requests that are held until their deadline, or asked of other instances without end, when none can take them.
Test(gateway_forwarding, refuses_when_no_instance_takes_the_request)
{
    forwarding_fixture fixture;
    fixture.setIsolated(true);
    const std::size_t first = fixture.simulation.submit(work);
    for (int i = 0; i < 20 && !fixture.answerOf(first).answered; ++i) {
        fixture.reply(forward_not_taken{});
    }
    cr_expect_eq(fixture.answerOf(first).code, result_code::instance_isolated);
    cr_expect(fixture.answerOf(first).retryAfter.has_value());
    cr_expect_leq(fixture.peers.sent.size(), 6U);
    fixture.peers.anyPeer = false;
    const std::size_t second = fixture.simulation.submit(work);
    cr_expect_eq(fixture.answerOf(second).code, result_code::instance_isolated);
    cr_expect_eq(fixture.simulation.router().unfinished(), 0U);
}

// Guards against a second run of a request that is not idempotent, and against "not run" for one that may have run.
Test(gateway_forwarding, lost_request_is_repeated_only_if_idempotent)
{
    forwarding_fixture fixture;
    fixture.setIsolated(true);
    const std::size_t idempotent = fixture.simulation.submit(work);
    fixture.reply(forward_lost{});
    cr_assert_eq(fixture.peers.sent.size(), 2U);
    // The lost instance may have used several endpoints; one of the three is left.
    cr_expect_eq(fixture.peers.sent.back().mark.attempts, 2U);
    fixture.reply(response(503, true));
    cr_expect_eq(fixture.answerOf(idempotent).code, result_code::server_connection_lost);

    fixture.simulation.route.idempotent = false;
    fixture.simulation.publish();
    const std::size_t other = fixture.simulation.submit(work);
    fixture.reply(forward_lost{});
    cr_expect_eq(fixture.peers.sent.size(), 3U);
    cr_expect_eq(fixture.answerOf(other).code, result_code::peer_lost);
}

// Guards against a refusal of the other instance that does not reach the caller as it is.
Test(gateway_forwarding, passes_refusals_on)
{
    forwarding_fixture fixture;
    fixture.setIsolated(true);
    const std::size_t request = fixture.simulation.submit(work);
    fixture.reply(response(503, true));
    cr_expect_eq(fixture.answerOf(request).status, 503U);
}

// Guards against other instances and endpoints that go on working for callers who are gone or are answered.
Test(gateway_forwarding, aborts_when_the_caller_leaves_or_the_time_ends)
{
    forwarding_fixture fixture;
    fixture.setIsolated(true);
    const std::size_t cancelled = fixture.simulation.submit(work);
    fixture.simulation.cancel(cancelled);
    cr_expect_eq(fixture.peers.aborted.size(), 1U);
    const std::size_t expired = fixture.simulation.submit(work);
    fixture.simulation.run(1100ms);
    cr_expect_eq(fixture.peers.aborted.size(), 2U);
    cr_expect_eq(fixture.answerOf(expired).code, result_code::deadline_while_running);
    fixture.simulation.submit(work);
    fixture.simulation.router().finishAll(fixture.simulation.now());
    cr_expect_eq(fixture.peers.aborted.size(), 3U);
    cr_expect_eq(fixture.simulation.router().unfinished(), 0U);
    fixture.reply(response(200));
}

// Guards against a retry budget and demand that count a request at two instances.
Test(gateway_forwarding, forwarded_requests_are_counted_by_the_other_instance)
{
    forwarding_fixture fixture(2, true);
    fixture.setIsolated(true);
    fixture.simulation.submit(work, 5);
    cr_expect(fixture.simulation.router().takeLoadReports().empty());
}

// Guards against requests that another instance runs, but whose callers get no answer because this one stops before.
Test(gateway_forwarding, stop_limits_forwarded_requests)
{
    forwarding_fixture fixture;
    fixture.setIsolated(true);
    const monotonic_time stopped = fixture.simulation.now();
    fixture.simulation.router().setStop({ stopped + 600ms, stopped + 300ms });
    const std::size_t early = fixture.simulation.submit(work);
    cr_assert_eq(fixture.peers.sent.size(), 1U);
    cr_expect(fixture.peers.sent.back().timeLeft == 600ms);
    fixture.simulation.run(590ms);
    // The other instance did not take it, and the time is too short to ask another one.
    fixture.reply(forward_not_taken{});
    cr_expect_eq(fixture.peers.sent.size(), 1U);
    cr_expect_eq(fixture.answerOf(early).code, result_code::instance_stopping);
    cr_expect(fixture.answerOf(early).retryAfter.has_value());
    const std::size_t late = fixture.simulation.submit(work);
    cr_expect_eq(fixture.peers.sent.size(), 1U);
    cr_expect_eq(fixture.answerOf(late).code, result_code::instance_stopping);
}

// Guards against more attempts than the route allows, over several lost instances.
Test(gateway_forwarding, lost_instances_use_up_the_attempts)
{
    forwarding_fixture fixture;
    // Enough requests that the retry budget allows several retries.
    for (int i = 0; i < 100; ++i) {
        fixture.simulation.submit(1ms);
        fixture.simulation.run(5ms);
    }
    fixture.setIsolated(true);
    const std::size_t request = fixture.simulation.submit(work);
    fixture.reply(forward_lost{});
    cr_assert_eq(fixture.peers.sent.size(), 2U);
    fixture.reply(forward_lost{});
    cr_expect_eq(fixture.peers.sent.size(), 2U);
    cr_expect_eq(fixture.answerOf(request).code, result_code::peer_lost);
}
