#include "endpoint_emulator.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

namespace
{

constexpr time_span shortWork = std::chrono::milliseconds(50);

} // namespace

Test(gateway, answers_with_what_the_endpoint_says)
{
    endpoint_emulator world(2, false);
    const std::size_t request = world.submit(shortWork);
    world.run(std::chrono::seconds(1));
    cr_expect_eq(world.answers()[request].status, 200U);
    cr_expect_eq(world.runs()[request], 1U);
    cr_expect_eq(world.router().unfinished(), 0U);
}

// Guards against an instance that guesses before it knows any configuration.
Test(gateway, refuses_without_configuration_or_route)
{
    endpoint_emulator world(1, false);
    gateway_request request;
    request.id = request_id("x");
    request.host = "other";
    request.path = "/p0/x";
    result_code code = result_code::ok;
    world.router().submit(
        request,
        [&](const gateway_answer &answer) {
            code = answer.code;
        },
        world.now());
    cr_expect_eq(code, result_code::no_matching_service);
    world.router().setRoutes(nullptr, world.now());
    world.router().submit(
        request,
        [&](const gateway_answer &answer) {
            code = answer.code;
        },
        world.now());
    cr_expect_eq(code, result_code::configuration_stale);
}

// Guards against a second run of a request that may run only once.
Test(gateway, non_idempotent_request_is_not_repeated_after_a_lost_connection)
{
    endpoint_emulator world(2, false);
    world.route.idempotent = false;
    world.publish();
    for (emulated_endpoint &endpoint : world.endpoints) {
        endpoint.slots = 1;
        endpoint.queue = 0;
        endpoint.onFull = full_behaviour::reset;
    }
    std::vector<std::size_t> requests;
    for (int i = 0; i < 6; ++i) {
        requests.push_back(world.submit(std::chrono::milliseconds(100)));
    }
    world.run(std::chrono::seconds(3));
    for (const std::size_t request : requests) {
        cr_expect(world.answers()[request].answered);
        cr_expect(world.runs()[request] <= 1);
        const bool toldNotRun = !world.answers()[request].status && outcomeClass(world.answers()[request].code) == request_outcome_class::not_run;
        cr_expect(!toldNotRun || world.runs()[request] == 0);
    }
}

// Guards against giving up what another endpoint can do: the first one is gone.
Test(gateway, request_that_was_not_sent_goes_to_another_endpoint)
{
    endpoint_emulator world(2, false);
    world.route.idempotent = false;
    world.publish();
    world.endpoints[0].up = false;
    for (int i = 0; i < 4; ++i) {
        const std::size_t request = world.submit(shortWork);
        world.run(std::chrono::milliseconds(300));
        cr_expect_eq(world.answers()[request].status, 200U);
    }
}

// Guards against "not run" for a request that was under way when its time ended.
Test(gateway, end_of_the_time_is_told_truthfully)
{
    endpoint_emulator world(1, false);
    const std::size_t running = world.submit(std::chrono::seconds(5));
    world.run(std::chrono::milliseconds(1100));
    cr_expect_eq(world.answers()[running].code, result_code::deadline_while_running);
    cr_expect(world.answers()[running].finished - world.answers()[running].arrived <= std::chrono::milliseconds(1001));
    // Its endpoint was told to stop, so the next request is served.
    const std::size_t next = world.submit(shortWork);
    world.run(std::chrono::milliseconds(200));
    cr_expect_eq(world.answers()[next].status, 200U);
}

// Guards against work for callers that have gone.
Test(gateway, cancelled_request_frees_its_endpoint)
{
    endpoint_emulator world(1, true);
    const std::size_t gone = world.submit(std::chrono::milliseconds(800));
    const std::size_t waiting = world.submit(shortWork);
    world.run(std::chrono::milliseconds(10));
    world.cancel(gone);
    world.run(std::chrono::milliseconds(200));
    cr_expect_not(world.answers()[gone].answered);
    cr_expect_eq(world.answers()[waiting].status, 200U);
}

// Guards against requests that fail because their key is on its way to another endpoint.
Test(gateway, request_waits_for_a_moving_key_and_goes_to_the_new_owner)
{
    endpoint_emulator world(2, true);
    world.assignFrom(1000, 1, false);
    const std::size_t request = world.submit(shortWork, 2000);
    world.run(std::chrono::milliseconds(100));
    cr_expect_not(world.answers()[request].answered);
    world.assignFrom(1000, 1, true);
    world.run(std::chrono::milliseconds(200));
    cr_expect_eq(world.answers()[request].status, 200U);
    cr_expect_eq(world.sends().back(), 1U);
}

// Guards against holding what certainly cannot be served in time.
Test(gateway, key_that_waits_for_a_lapse_is_refused_at_once)
{
    endpoint_emulator world(2, true);
    world.assignFrom(1000, 1, false, std::chrono::seconds(2));
    const std::size_t request = world.submit(shortWork, 2000);
    cr_assert(world.answers()[request].answered);
    cr_expect_eq(world.answers()[request].code, result_code::no_owner);
    cr_expect(world.answers()[request].retryAfter.has_value());
}

// Guards against asking an endpoint again and again for a key that it does not hold.
Test(gateway, misdirected_request_waits_and_follows_the_owner)
{
    endpoint_emulator world(2, true);
    world.endpoints[0].misdirected = true;
    const std::size_t request = world.submit(shortWork, 2000);
    world.run(std::chrono::milliseconds(30));
    world.assignFrom(1000, 1);
    world.run(std::chrono::milliseconds(400));
    cr_expect_eq(world.answers()[request].status, 200U);
    cr_expect(world.sends().size() <= 3);
}

// Guards against new work for an endpoint that leaves.
Test(gateway, draining_endpoint_gets_no_new_requests)
{
    endpoint_emulator world(2, false);
    world.setDraining(0);
    for (int i = 0; i < 10; ++i) {
        world.submit(std::chrono::milliseconds(10));
        world.run(std::chrono::milliseconds(30));
    }
    for (const std::size_t endpoint : world.sends()) {
        cr_expect_eq(endpoint, 1U);
    }
}

// Guards against sending a request twice: when owners change, placing one waiting request sends others of its queue, which are
// to be placed next. The process ended by an exception, or the request ran twice.
Test(gateway, change_of_owners_sends_each_waiting_request_once)
{
    endpoint_emulator world(2, true);
    world.route.idempotent = false;
    world.route.timeout = std::chrono::seconds(20);
    world.route.latencyTarget = std::chrono::seconds(20);
    world.publish();
    // From its answer the gateway knows that such requests are short.
    world.submit(std::chrono::milliseconds(100), 2000);
    world.run(std::chrono::seconds(1));
    std::vector<std::size_t> requests;
    for (std::uint16_t i = 0; i < 8; ++i) {
        requests.push_back(world.submit(std::chrono::milliseconds(100), static_cast<std::uint16_t>(2000 + i)));
    }
    world.run(std::chrono::milliseconds(20));
    world.assignFrom(1000, 1);
    world.run(std::chrono::seconds(5));
    for (const std::size_t request : requests) {
        cr_expect_eq(world.answers()[request].status, 200U);
        cr_expect_eq(world.runs()[request], 1U);
    }
}

// Guards against silence at the end of a process.
Test(gateway, end_of_the_process_answers_everything)
{
    endpoint_emulator world(1, true);
    const std::size_t running = world.submit(std::chrono::milliseconds(900));
    const std::size_t queued = world.submit(shortWork);
    world.run(std::chrono::milliseconds(10));
    world.router().finishAll(world.now());
    cr_expect_eq(world.answers()[running].code, result_code::deadline_while_running);
    cr_expect_eq(outcomeClass(world.answers()[queued].code), request_outcome_class::not_run);
    cr_expect_eq(world.router().unfinished(), 0U);
}
