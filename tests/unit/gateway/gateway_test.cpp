#include "endpoint_emulator.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamoretray;

namespace
{

constexpr time_span shortWork = std::chrono::milliseconds(50);

} // namespace

Test(gateway, returns_the_answer_of_the_endpoint)
{
    endpoint_emulator simulation(2, false);
    const std::size_t request = simulation.submit(shortWork);
    simulation.run(std::chrono::seconds(1));
    cr_expect_eq(simulation.answers()[request].status, 200U);
    cr_expect_eq(simulation.runs()[request], 1U);
    cr_expect_eq(simulation.router().unfinished(), 0U);
}

// Guards against routing by default values before the first configuration is known.
Test(gateway, refuses_without_configuration_or_route)
{
    endpoint_emulator simulation(1, false);
    gateway_request request;
    request.id = request_id("x");
    request.host = "other";
    request.path = "/p0/x";
    result_code code = result_code::ok;
    simulation.router().submit(
        request,
        [&](const gateway_answer &answer) {
            code = answer.code;
        },
        simulation.now());
    cr_expect_eq(code, result_code::no_matching_service);
    simulation.router().setRoutes(nullptr, simulation.now());
    simulation.router().submit(
        request,
        [&](const gateway_answer &answer) {
            code = answer.code;
        },
        simulation.now());
    cr_expect_eq(code, result_code::configuration_stale);
}

// Guards against a second run of a request that is not idempotent.
Test(gateway, non_idempotent_request_is_not_retried_after_a_lost_connection)
{
    endpoint_emulator simulation(2, false);
    simulation.route.idempotent = false;
    simulation.publish();
    for (emulated_endpoint &endpoint : simulation.endpoints) {
        endpoint.slots = 1;
        endpoint.queue = 0;
        endpoint.onFull = full_behaviour::reset;
    }
    std::vector<std::size_t> requests;
    for (int i = 0; i < 6; ++i) {
        requests.push_back(simulation.submit(std::chrono::milliseconds(100)));
    }
    simulation.run(std::chrono::seconds(3));
    for (const std::size_t request : requests) {
        cr_expect(simulation.answers()[request].answered);
        cr_expect(simulation.runs()[request] <= 1);
        const bool toldNotRun = !simulation.answers()[request].status && outcomeClass(simulation.answers()[request].code) == request_outcome_class::not_run;
        cr_expect(!toldNotRun || simulation.runs()[request] == 0);
    }
}

// Guards against refusing a request that another endpoint can serve, when the first endpoint is unreachable.
Test(gateway, request_that_could_not_be_sent_is_retried_at_another_endpoint)
{
    endpoint_emulator simulation(2, false);
    simulation.route.idempotent = false;
    simulation.publish();
    simulation.endpoints[0].up = false;
    for (int i = 0; i < 4; ++i) {
        const std::size_t request = simulation.submit(shortWork);
        simulation.run(std::chrono::milliseconds(300));
        cr_expect_eq(simulation.answers()[request].status, 200U);
    }
}

// Guards against reporting a request as not run that was in flight at its deadline.
Test(gateway, expired_request_in_flight_is_reported_as_running)
{
    endpoint_emulator simulation(1, false);
    const std::size_t running = simulation.submit(std::chrono::seconds(5));
    simulation.run(std::chrono::milliseconds(1100));
    cr_expect_eq(simulation.answers()[running].code, result_code::deadline_while_running);
    cr_expect(simulation.answers()[running].finished - simulation.answers()[running].arrived <= std::chrono::milliseconds(1001));
    // The attempt was aborted, so the endpoint can serve the next request.
    const std::size_t next = simulation.submit(shortWork);
    simulation.run(std::chrono::milliseconds(200));
    cr_expect_eq(simulation.answers()[next].status, 200U);
}

// Guards against endpoints that keep running requests whose callers have disconnected.
Test(gateway, cancelled_request_frees_its_endpoint)
{
    endpoint_emulator simulation(1, true);
    const std::size_t cancelled = simulation.submit(std::chrono::milliseconds(800));
    const std::size_t waiting = simulation.submit(shortWork);
    simulation.run(std::chrono::milliseconds(10));
    simulation.cancel(cancelled);
    simulation.run(std::chrono::milliseconds(200));
    cr_expect_not(simulation.answers()[cancelled].answered);
    cr_expect_eq(simulation.answers()[waiting].status, 200U);
}

// Guards against refusing requests while their key moves to another endpoint.
Test(gateway, request_waits_until_its_key_has_moved_to_the_new_owner)
{
    endpoint_emulator simulation(2, true);
    simulation.assignFrom(1000, 1, false);
    const std::size_t request = simulation.submit(shortWork, 2000);
    simulation.run(std::chrono::milliseconds(100));
    cr_expect_not(simulation.answers()[request].answered);
    simulation.assignFrom(1000, 1, true);
    simulation.run(std::chrono::milliseconds(200));
    cr_expect_eq(simulation.answers()[request].status, 200U);
    cr_expect_eq(simulation.sends().back(), 1U);
}

// Guards against holding a request whose key stays unserved past the deadline, because the grant of its former holder has to expire.
Test(gateway, request_is_refused_at_once_if_its_key_stays_unserved_too_long)
{
    endpoint_emulator simulation(2, true);
    simulation.assignFrom(1000, 1, false, std::chrono::seconds(2));
    const std::size_t request = simulation.submit(shortWork, 2000);
    cr_assert(simulation.answers()[request].answered);
    cr_expect_eq(simulation.answers()[request].code, result_code::no_owner);
    cr_expect(simulation.answers()[request].retryAfter.has_value());
}

// Guards against rapid retries at an endpoint that does not hold the key.
Test(gateway, misdirected_request_is_retried_at_the_new_owner)
{
    endpoint_emulator simulation(2, true);
    simulation.endpoints[0].misdirected = true;
    const std::size_t request = simulation.submit(shortWork, 2000);
    simulation.run(std::chrono::milliseconds(30));
    simulation.assignFrom(1000, 1);
    simulation.run(std::chrono::milliseconds(400));
    cr_expect_eq(simulation.answers()[request].status, 200U);
    cr_expect(simulation.sends().size() <= 3);
}

// Guards against sending new requests to a draining endpoint.
Test(gateway, draining_endpoint_gets_no_new_requests)
{
    endpoint_emulator simulation(2, false);
    simulation.setDraining(0);
    for (int i = 0; i < 10; ++i) {
        simulation.submit(std::chrono::milliseconds(10));
        simulation.run(std::chrono::milliseconds(30));
    }
    for (const std::size_t endpoint : simulation.sends()) {
        cr_expect_eq(endpoint, 1U);
    }
}

// Guards against requests to an endpoint after it said in an answer that it leaves, also those that were queued for it before.
Test(gateway, endpoint_that_says_it_leaves_gets_no_new_requests)
{
    for (const bool byKey : { false, true }) {
        endpoint_emulator simulation(2, byKey);
        simulation.endpoints[0].leaving = true;
        simulation.endpoints[1].slowness = 20;
        for (int i = 0; i < 6; ++i) {
            simulation.submit(shortWork);
        }
        simulation.run(std::chrono::milliseconds(1400));
        const std::size_t sent = simulation.sends().size();
        cr_assert(std::find(simulation.sends().begin(), simulation.sends().end(), 0U) != simulation.sends().end());
        for (int i = 0; i < 10; ++i) {
            simulation.submit(std::chrono::milliseconds(1));
            simulation.run(std::chrono::milliseconds(100));
        }
        for (std::size_t i = sent; i < simulation.sends().size(); ++i) {
            cr_expect_eq(simulation.sends()[i], 1U, "divided by key: %d", byKey ? 1 : 0);
        }
    }
}

// Guards against sending a request twice when owners change: scheduling one waiting request sends others of its queue that are
// still to be scheduled. Scheduling those again threw an exception that ended the process, or ran the request twice.
Test(gateway, change_of_owners_sends_each_queued_request_once)
{
    endpoint_emulator simulation(2, true);
    simulation.route.idempotent = false;
    simulation.route.timeout = std::chrono::seconds(20);
    simulation.route.latencyTarget = std::chrono::seconds(20);
    simulation.publish();
    // The answer teaches the gateway the short run time of such requests.
    simulation.submit(std::chrono::milliseconds(100), 2000);
    simulation.run(std::chrono::seconds(1));
    std::vector<std::size_t> requests;
    for (std::uint16_t i = 0; i < 8; ++i) {
        requests.push_back(simulation.submit(std::chrono::milliseconds(100), static_cast<std::uint16_t>(2000 + i)));
    }
    simulation.run(std::chrono::milliseconds(20));
    simulation.assignFrom(1000, 1);
    simulation.run(std::chrono::seconds(5));
    for (const std::size_t request : requests) {
        cr_expect_eq(simulation.answers()[request].status, 200U);
        cr_expect_eq(simulation.runs()[request], 1U);
    }
}

// Guards against unanswered requests at shutdown.
Test(gateway, finishing_answers_every_request)
{
    endpoint_emulator simulation(1, true);
    const std::size_t running = simulation.submit(std::chrono::milliseconds(900));
    const std::size_t queued = simulation.submit(shortWork);
    simulation.run(std::chrono::milliseconds(10));
    simulation.router().finishAll(simulation.now());
    cr_expect_eq(simulation.answers()[running].code, result_code::deadline_while_running);
    cr_expect_eq(outcomeClass(simulation.answers()[queued].code), request_outcome_class::not_run);
    cr_expect_eq(simulation.router().unfinished(), 0U);
}

// Guards against requests that arrive late in a planned stop, are sent, and are cut off at an endpoint by its end.
Test(gateway, stopping_instance_sends_only_requests_that_it_can_finish)
{
    endpoint_emulator simulation(2, false);
    simulation.submit(shortWork);
    simulation.run(std::chrono::seconds(1));
    simulation.router().setStop({ simulation.now() + std::chrono::seconds(2), simulation.now() + std::chrono::seconds(1) });
    // In rotation, the typical run time decides. The endpoint gets no more time than is left.
    simulation.run(std::chrono::milliseconds(990));
    const std::size_t early = simulation.submit(shortWork, 0, 0, std::chrono::milliseconds(1000));
    simulation.run(std::chrono::milliseconds(20));
    const std::size_t fits = simulation.submit(shortWork, 0, 0, std::chrono::milliseconds(900));
    simulation.run(std::chrono::milliseconds(200));
    const std::size_t late = simulation.submit(shortWork, 0, 0, std::chrono::milliseconds(900));
    cr_expect_eq(simulation.answers()[late].code, result_code::instance_stopping);
    cr_expect(simulation.answers()[late].retryAfter.has_value());
    simulation.run(std::chrono::seconds(2));
    const std::size_t last = simulation.submit(shortWork, 0, 0, std::chrono::milliseconds(20));
    cr_expect_eq(simulation.answers()[last].code, result_code::instance_stopping);
    cr_expect_eq(simulation.answers()[early].status, 200U);
    cr_expect_eq(simulation.answers()[fits].status, 200U);
    cr_expect_eq(simulation.runs()[late] + simulation.runs()[last], 0U);
    cr_expect_eq(simulation.timesLeft().size(), 3U);
}

// Guards against an endpoint that works on a request after the instance that sent it has ended.
Test(gateway, endpoints_get_no_more_time_than_is_left_of_a_planned_stop)
{
    endpoint_emulator simulation(2, false);
    const time_span left = std::chrono::milliseconds(600);
    simulation.router().setStop({ simulation.now() + left, simulation.now() + left });
    simulation.submit(shortWork, 0, 0, std::chrono::milliseconds(1000));
    simulation.run(std::chrono::seconds(1));
    cr_assert_eq(simulation.timesLeft().size(), 1U);
    cr_expect_leq(simulation.timesLeft()[0].count(), left.count());
}

// Guards against requests that wait for an endpoint and are sent to it when they can't be finished any more.
Test(gateway, waiting_request_is_refused_when_a_planned_stop_leaves_no_time_for_it)
{
    endpoint_emulator simulation(1, true);
    simulation.endpoints[0].slots = 1;
    simulation.publish();
    const std::size_t running = simulation.submit(std::chrono::milliseconds(700));
    simulation.run(std::chrono::milliseconds(10));
    const std::size_t waiting = simulation.submit(shortWork);
    cr_assert_not(simulation.answers()[waiting].answered);
    const std::size_t sent = simulation.sends().size();
    const monotonic_time end = simulation.now() + std::chrono::milliseconds(800);
    simulation.router().setStop({ end, end });
    simulation.run(std::chrono::milliseconds(750));
    cr_expect_eq(simulation.answers()[running].status, 200U);
    cr_expect_eq(simulation.answers()[waiting].code, result_code::instance_stopping);
    cr_expect_eq(simulation.sends().size(), sent);
}

// Guards against requests to an owner of keys that named a time for which it wants none, requests that are held although they cannot wait so
// long, and requests that are not sent after that time.
Test(gateway, owner_that_wants_a_pause_gets_no_request_until_its_end)
{
    constexpr time_span pause = std::chrono::seconds(5);
    endpoint_emulator simulation(1, true);
    simulation.endpoints[0].pause = pause;
    const std::size_t first = simulation.submit(shortWork, 7);
    simulation.run(std::chrono::milliseconds(300));
    cr_expect_eq(simulation.sends().size(), 1U);
    cr_expect_neq(simulation.answers()[first].status, 200U);
    for (int i = 0; i < 20; ++i) {
        const std::size_t request = simulation.submit(shortWork, 7);
        simulation.run(std::chrono::milliseconds(200));
        const emulated_answer &answer = simulation.answers()[request];
        cr_assert(answer.answered);
        cr_expect_eq(answer.code, result_code::deadline_unreachable);
        cr_expect(answer.retryAfter.has_value());
        cr_expect(answer.finished - answer.arrived < std::chrono::milliseconds(10));
    }
    cr_expect_eq(simulation.sends().size(), 1U);
    simulation.endpoints[0].pause.reset();
    simulation.run(pause);
    const std::size_t last = simulation.submit(shortWork, 7);
    simulation.run(std::chrono::seconds(1));
    cr_expect_eq(simulation.answers()[last].status, 200U);
}

// Guards against requests that are held by the pause of one endpoint although another one can run them.
Test(gateway, pause_of_one_endpoint_sends_requests_to_others)
{
    endpoint_emulator simulation(2, false);
    simulation.endpoints[0].pause = std::chrono::seconds(5);
    for (int i = 0; i < 20; ++i) {
        const std::size_t request = simulation.submit(shortWork);
        simulation.run(std::chrono::milliseconds(100));
        cr_expect_eq(simulation.answers()[request].status, 200U, "request %d", i);
    }
    cr_expect_leq(std::count(simulation.sends().begin(), simulation.sends().end(), 0U), 1);
}
