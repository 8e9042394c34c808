#include "endpoint_emulator.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr time_span work = 50ms;

std::size_t sendsTo(const endpoint_emulator &simulation, std::size_t endpoint)
{
    return static_cast<std::size_t>(std::count(simulation.sends().begin(), simulation.sends().end(), endpoint));
}

} // namespace

// Guards against requests, also queued ones, that are sent to an evacuated zone, against callers that wait to no purpose when all zones are
// evacuated, against aborting what runs there, and against a zone that stays unused after its return.
Test(evacuated_endpoint, gets_no_request_that_another_can_run)
{
    endpoint_emulator simulation(2, false);
    const std::size_t running = simulation.submit(300ms);
    simulation.submit(300ms);
    const std::size_t waiting = simulation.submit(work);
    simulation.setEvacuated(0, true);
    simulation.run(1s);
    cr_expect(simulation.answers()[running].status == 200 && simulation.answers()[waiting].status == 200);
    cr_expect_eq(sendsTo(simulation, 0), 1U);
    simulation.submit(300ms);
    simulation.submit(300ms);
    const std::size_t refused = simulation.submit(work);
    simulation.setEvacuated(1, true);
    for (const std::size_t each : { refused, simulation.submit(work) }) {
        cr_expect(simulation.answers()[each].answered && simulation.answers()[each].retryAfter);
        cr_expect_eq(httpStatus(simulation.answers()[each].code), 503);
    }
    simulation.setEvacuated(0, false);
    simulation.submit(work);
    cr_expect_eq(sendsTo(simulation, 0), 2U);
}

// Guards against keys that are unserved from the start of an evacuation on, and against requests to the owner beyond the time for moving
// them: waiting ones, new ones, and ones in its queue.
Test(evacuated_endpoint, keyed_requests_go_on_for_a_time_and_then_wait_for_a_new_owner)
{
    endpoint_emulator simulation(2, true);
    simulation.assignFrom(1000, 1, true);
    simulation.setEvacuated(1, true);
    simulation.run(2900ms);
    const std::size_t running = simulation.submit(150ms, 2000);
    const std::size_t queued = simulation.submit(work, 2000);
    simulation.run(200ms);
    simulation.repeatEndpoints();
    const std::size_t late = simulation.submit(work, 2000);
    simulation.run(100ms);
    cr_expect_eq(sendsTo(simulation, 1), 1U);
    cr_expect_not(simulation.answers()[late].answered);
    simulation.assignFrom(1000, 0, true);
    simulation.run(500ms);
    for (const std::size_t each : { running, queued, late }) {
        cr_expect_eq(simulation.answers()[each].status, 200U);
    }
    cr_expect_eq(sendsTo(simulation, 1), 1U);
}
