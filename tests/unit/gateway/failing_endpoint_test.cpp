#include "endpoint_emulator.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

/** Submits 70 requests a second, most of what four endpoints can run, for @p duration, and returns how many were sent to endpoint 0 in this time. */
std::size_t sendsToFirst(endpoint_emulator &simulation, time_span duration)
{
    const std::size_t before = simulation.sends().size();
    for (time_span since{}; since < duration; since += 14ms) {
        simulation.submit(100ms);
        simulation.run(14ms);
    }
    return static_cast<std::size_t>(std::count(simulation.sends().begin() + static_cast<std::ptrdiff_t>(before), simulation.sends().end(), 0U));
}

void setResetting(emulated_endpoint &endpoint, bool resetting)
{
    endpoint.slots = resetting ? 0 : 2;
    endpoint.queue = resetting ? 0 : 8;
    endpoint.onFull = full_behaviour::reset;
}

} // namespace

// Load pattern: a site without a permit coordinator, one of whose four endpoints resets each request for 8 s. Guards against an endpoint
// that gets more than single trial requests, and against one that gets no requests after it works again.
Test(failing_endpoint, gateway_without_permits_ejects_and_readmits_it)
{
    endpoint_emulator simulation(4, false);
    simulation.route.idempotent = true;
    simulation.publish();
    sendsToFirst(simulation, 2s);
    setResetting(simulation.endpoints[0], true);
    const std::size_t whileFailing = sendsToFirst(simulation, 8s);
    cr_expect(whileFailing <= 12, "%zu requests", whileFailing);
    cr_expect(whileFailing >= 4, "%zu requests, the trials are missing", whileFailing);
    cr_expect_eq(simulation.router().ejectedEndpoints(), 1U);
    setResetting(simulation.endpoints[0], false);
    sendsToFirst(simulation, 5s);
    cr_expect_eq(simulation.router().ejectedEndpoints(), 0U);
    cr_expect(sendsToFirst(simulation, 4s) > 10);
    for (const emulated_answer &answer : simulation.answers()) {
        cr_expect_neq(answer.code, result_code::server_connection_lost, "a request was not repeated at another endpoint");
    }
}

// Guards against a second run of a request whose trial at an ejected endpoint failed.
Test(failing_endpoint, failed_trial_of_a_non_idempotent_request_is_not_repeated)
{
    endpoint_emulator simulation(4, false);
    simulation.route.idempotent = false;
    simulation.publish();
    sendsToFirst(simulation, 1s);
    setResetting(simulation.endpoints[0], true);
    const std::size_t failed = sendsToFirst(simulation, 10s);
    simulation.run(1s);
    cr_expect(failed >= 3 && failed <= 12, "%zu requests", failed);
    const auto lost = std::count_if(simulation.answers().begin(), simulation.answers().end(), [](const emulated_answer &answer) {
        return answer.answered && answer.code == result_code::server_connection_lost;
    });
    cr_expect_eq(static_cast<std::size_t>(lost), failed, "%ld requests ended for %zu failed attempts", static_cast<long>(lost), failed);
}
