#include "endpoint_emulator.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamoretray;

namespace
{

struct load_result {
    std::size_t submitted = 0;
    std::size_t withinTarget = 0;
    std::size_t served = 0;
    time_span longestRefusal{};
    std::vector<std::size_t> servedByPriority = std::vector<std::size_t>(3);
    std::vector<std::size_t> submittedByPriority = std::vector<std::size_t>(3);
};

/** Submits evenly spaced requests whose priorities cycle through @p priorities, and counts the answers. */
load_result runLoad(endpoint_emulator &simulation, double perSecond, time_span duration, time_span work, const std::vector<std::uint32_t> &priorities = { 0 })
{
    load_result result;
    const auto gap = std::chrono::duration_cast<time_span>(std::chrono::duration<double>(1 / perSecond));
    std::vector<std::uint32_t> priorityOf;
    for (time_span passed{}; passed < duration; passed += gap) {
        const std::uint32_t priority = priorities[priorityOf.size() % priorities.size()];
        priorityOf.push_back(priority);
        simulation.submit(work, 5, priority);
        simulation.run(gap);
    }
    simulation.run(std::chrono::seconds(3));
    for (std::size_t i = 0; i < priorityOf.size(); ++i) {
        const emulated_answer &answer = simulation.answers()[i];
        const time_span taken = answer.finished - answer.arrived;
        ++result.submitted;
        ++result.submittedByPriority[priorityOf[i]];
        if (answer.status == 200) {
            ++result.served;
            ++result.servedByPriority[priorityOf[i]];
            result.withinTarget += taken <= simulation.route.latencyTarget ? 1 : 0;
        } else {
            result.longestRefusal = std::max(result.longestRefusal, taken);
        }
    }
    return result;
}

} // namespace

// Load pattern: a hot range of keys with three times the capacity of its owner. Requests that are served must be served in time,
// and the others refused before their timeout.
Test(gateway_load, overloaded_owner_serves_in_time_and_refuses_early)
{
    endpoint_emulator simulation(1, true);
    const load_result result = runLoad(simulation, 60, std::chrono::seconds(10), std::chrono::milliseconds(100));
    cr_expect(result.served > 190, "served %zu; 2 worker slots can serve 200", result.served);
    cr_expect(result.withinTarget > result.served * 8 / 10, "%zu of %zu in time", result.withinTarget, result.served);
    cr_expect(result.longestRefusal <= simulation.route.timeout);
}

// Load pattern: peak load on one owner, with requests of two priorities.
Test(gateway_load, urgent_requests_are_served_first)
{
    endpoint_emulator simulation(1, true);
    const load_result result = runLoad(simulation, 40, std::chrono::seconds(10), std::chrono::milliseconds(100), { 2, 0 });
    cr_expect(
        result.servedByPriority[0] > result.submittedByPriority[0] * 9 / 10, "urgent: %zu of %zu", result.servedByPriority[0], result.submittedByPriority[0]);
    cr_expect(result.servedByPriority[2] < result.servedByPriority[0]);
}

// Load pattern: overload of an endpoint that never answers requests beyond its queue. It must not get more than its queue holds.
Test(gateway_load, endpoint_that_hangs_when_full_is_not_overfilled)
{
    endpoint_emulator simulation(1, true);
    simulation.endpoints[0].onFull = full_behaviour::hang;
    const load_result result = runLoad(simulation, 60, std::chrono::seconds(10), std::chrono::milliseconds(100));
    cr_expect(result.served > 190, "served %zu", result.served);
}

// Load pattern: steady load on endpoints of different speed. The slow one must get fewer requests.
Test(gateway_load, slow_endpoint_gets_less)
{
    endpoint_emulator simulation(4, false);
    simulation.endpoints[2].slowness = 4;
    const load_result result = runLoad(simulation, 40, std::chrono::seconds(10), std::chrono::milliseconds(80));
    cr_expect_eq(result.served, result.submitted);
    const auto slow = std::count(simulation.sends().begin(), simulation.sends().end(), 2U);
    cr_expect(slow < 60, "%ld of %zu requests went to the slow endpoint", static_cast<long>(slow), result.submitted);
}

// Load pattern: one endpoint in the gateway's zone, and faster ones in another zone, to which traffic costs money. Requests must go
// to the other zone only if the endpoint in the same zone cannot answer in time.
Test(gateway_load, requests_stay_in_the_zone_while_its_endpoint_keeps_up)
{
    endpoint_emulator simulation(3, false);
    simulation.endpoints[0].slowness = 1.5;
    for (const std::size_t remote : { 1U, 2U }) {
        simulation.endpoints[remote].remote = true;
        simulation.endpoints[remote].slowness = 0.5;
    }
    simulation.publish();
    const load_result result = runLoad(simulation, 10, std::chrono::seconds(20), std::chrono::milliseconds(80));
    cr_expect_eq(result.withinTarget, result.submitted);
    const auto inZone = std::count(simulation.sends().begin(), simulation.sends().end(), 0U);
    cr_expect(
        static_cast<std::size_t>(inZone) > result.submitted * 8 / 10, "%ld of %zu requests stayed in the zone", static_cast<long>(inZone), result.submitted);
}

// Load pattern: three times the capacity of the zone's endpoint. The excess must be served in other zones, in time.
Test(gateway_load, excess_load_of_a_zone_is_served_in_other_zones)
{
    endpoint_emulator simulation(3, false);
    for (const std::size_t remote : { 1U, 2U }) {
        simulation.endpoints[remote].remote = true;
    }
    simulation.publish();
    const load_result result = runLoad(simulation, 50, std::chrono::seconds(20), std::chrono::milliseconds(80));
    cr_expect(result.withinTarget > result.submitted * 95 / 100, "%zu of %zu in time", result.withinTarget, result.submitted);
}

// Load pattern: an endpoint of normal speed beside a faster one that could serve all requests. Guards against never trying an
// endpoint of unknown speed.
Test(gateway_load, untried_endpoint_is_tried_beside_a_faster_one)
{
    endpoint_emulator simulation(2, false);
    simulation.endpoints[0].slowness = 0.5;
    runLoad(simulation, 10, std::chrono::seconds(5), std::chrono::milliseconds(80));
    cr_expect(std::count(simulation.sends().begin(), simulation.sends().end(), 1U) > 0);
}

// Load pattern: one endpoint answers half of its requests with status 500 but reports normal load.
Test(gateway_load, failing_endpoint_causes_few_failed_requests)
{
    endpoint_emulator simulation(4, false);
    simulation.endpoints[1].failing = 0.5;
    const load_result result = runLoad(simulation, 40, std::chrono::seconds(10), std::chrono::milliseconds(50));
    cr_expect(result.served > result.submitted * 93 / 100, "%zu of %zu", result.served, result.submitted);
}
