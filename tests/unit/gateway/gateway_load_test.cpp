#include "endpoint_emulator.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamoretray;

namespace
{

struct load_result {
    std::size_t asked = 0;
    std::size_t inTarget = 0;
    std::size_t served = 0;
    time_span longestHeldRefusal{};
    std::vector<std::size_t> servedByPriority = std::vector<std::size_t>(3);
    std::vector<std::size_t> askedByPriority = std::vector<std::size_t>(3);
};

/** Requests arrive evenly spaced, in turn with the priorities @p priorities. */
load_result arrivals(endpoint_emulator &world, double perSecond, time_span duration, time_span work, const std::vector<std::uint32_t> &priorities = { 0 })
{
    load_result result;
    const auto gap = std::chrono::duration_cast<time_span>(std::chrono::duration<double>(1 / perSecond));
    std::vector<std::uint32_t> priorityOf;
    for (time_span passed{}; passed < duration; passed += gap) {
        const std::uint32_t priority = priorities[priorityOf.size() % priorities.size()];
        priorityOf.push_back(priority);
        world.submit(work, 5, priority);
        world.run(gap);
    }
    world.run(std::chrono::seconds(3));
    for (std::size_t i = 0; i < priorityOf.size(); ++i) {
        const emulated_answer &answer = world.answers()[i];
        const time_span taken = answer.finished - answer.arrived;
        ++result.asked;
        ++result.askedByPriority[priorityOf[i]];
        if (answer.status == 200) {
            ++result.served;
            ++result.servedByPriority[priorityOf[i]];
            result.inTarget += taken <= world.route.latencyTarget ? 1 : 0;
        } else {
            result.longestHeldRefusal = std::max(result.longestHeldRefusal, taken);
        }
    }
    return result;
}

} // namespace

// Load pattern: a hot range of keys asks three times as much of its owner as it can do. What is served is served in time, the
// rest is refused soon enough to go elsewhere.
Test(gateway_load, overloaded_owner_serves_in_time_and_refuses_early)
{
    endpoint_emulator world(1, true);
    const load_result result = arrivals(world, 60, std::chrono::seconds(10), std::chrono::milliseconds(100));
    cr_expect(result.served > 190, "served %zu of what 2 worker slots can do, 200", result.served);
    cr_expect(result.inTarget > result.served * 8 / 10, "%zu of %zu in time", result.inTarget, result.served);
    cr_expect(result.longestHeldRefusal <= world.route.timeout);
}

// Load pattern: the crest of a swing, with urgent and less urgent requests for one owner.
Test(gateway_load, urgent_requests_are_served_first)
{
    endpoint_emulator world(1, true);
    const load_result result = arrivals(world, 40, std::chrono::seconds(10), std::chrono::milliseconds(100), { 2, 0 });
    cr_expect(result.servedByPriority[0] > result.askedByPriority[0] * 9 / 10, "urgent: %zu of %zu", result.servedByPriority[0], result.askedByPriority[0]);
    cr_expect(result.servedByPriority[2] < result.servedByPriority[0]);
}

// Load pattern: endpoints that hang when they are full. They are not filled beyond their queue.
Test(gateway_load, endpoint_that_hangs_when_full_is_not_overfilled)
{
    endpoint_emulator world(1, true);
    world.endpoints[0].onFull = full_behaviour::hang;
    const load_result result = arrivals(world, 60, std::chrono::seconds(10), std::chrono::milliseconds(100));
    cr_expect(result.served > 190, "served %zu", result.served);
}

// Load pattern: steady load on endpoints of different speed. The slow one gets less.
Test(gateway_load, slow_endpoint_gets_less)
{
    endpoint_emulator world(4, false);
    world.endpoints[2].slowness = 4;
    const load_result result = arrivals(world, 40, std::chrono::seconds(10), std::chrono::milliseconds(80));
    cr_expect_eq(result.served, result.asked);
    const auto slow = std::count(world.sends().begin(), world.sends().end(), 2U);
    cr_expect(slow < 60, "%ld of %zu requests went to the slow endpoint", static_cast<long>(slow), result.asked);
}

// Load pattern: few endpoints in the zone, and faster ones in another, where bytes are paid for. Work leaves the zone only for
// what its own endpoint cannot do in time.
Test(gateway_load, work_stays_in_the_zone_while_its_endpoint_keeps_up)
{
    endpoint_emulator world(3, false);
    world.endpoints[0].slowness = 1.5;
    for (const std::size_t remote : { 1U, 2U }) {
        world.endpoints[remote].remote = true;
        world.endpoints[remote].slowness = 0.5;
    }
    world.publish();
    const load_result result = arrivals(world, 10, std::chrono::seconds(20), std::chrono::milliseconds(80));
    cr_expect_eq(result.inTarget, result.asked);
    const auto inZone = std::count(world.sends().begin(), world.sends().end(), 0U);
    cr_expect(static_cast<std::size_t>(inZone) > result.asked * 8 / 10, "%ld of %zu stayed", static_cast<long>(inZone), result.asked);
}

// Load pattern: the zone is asked three times as much as its endpoint can do. The rest is served elsewhere, in time.
Test(gateway_load, overflow_of_the_zone_is_served_elsewhere)
{
    endpoint_emulator world(3, false);
    for (const std::size_t remote : { 1U, 2U }) {
        world.endpoints[remote].remote = true;
    }
    world.publish();
    const load_result result = arrivals(world, 50, std::chrono::seconds(20), std::chrono::milliseconds(80));
    cr_expect(result.inTarget > result.asked * 95 / 100, "%zu of %zu in time", result.inTarget, result.asked);
}

// Load pattern: an endpoint of usual speed beside a faster one that keeps up. It is tried all the same.
Test(gateway_load, unknown_endpoint_is_tried_beside_a_faster_one)
{
    endpoint_emulator world(2, false);
    world.endpoints[0].slowness = 0.5;
    arrivals(world, 10, std::chrono::seconds(5), std::chrono::milliseconds(80));
    cr_expect(std::count(world.sends().begin(), world.sends().end(), 1U) > 0);
}

// Load pattern: an endpoint fails half of its requests while it looks healthy.
Test(gateway_load, failing_endpoint_costs_few_answers)
{
    endpoint_emulator world(4, false);
    world.endpoints[1].failing = 0.5;
    const load_result result = arrivals(world, 40, std::chrono::seconds(10), std::chrono::milliseconds(50));
    cr_expect(result.served > result.asked * 93 / 100, "%zu of %zu", result.served, result.asked);
}
