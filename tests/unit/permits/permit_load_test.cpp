#include "permit_simulation.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint16_t hotKey = 5;
// Requests per second that the endpoints can run by default: 60 endpoints with 2 worker slots, and a run time of 260 ms.
constexpr double capacity = 60 * 2 / 0.26;
// Request rate at low load, as a share of the capacity.
constexpr double lowLoad = 0.45;
// Share of the requests whose run time alone exceeds the timeout.
constexpr double overlongRequestShare = 0.005;

/** Draws hotKey for @p share of the requests, and any key for the others. */
void addHotKey(permit_simulation &simulation, double share)
{
    simulation.drawKey = [share](std::mt19937_64 &random) {
        const bool hot = std::uniform_real_distribution<double>(0, 1)(random) < share;
        return hot ? hotKey : static_cast<std::uint16_t>(std::uniform_int_distribution<std::uint32_t>(0, keyCount - 1)(random));
    };
}

void setConstantRate(permit_simulation &simulation, double perSecond)
{
    simulation.perSecond = [perSecond](time_span) {
        return perSecond;
    };
}

double share(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

/** Simulates 8 s at @p load, as a share of the capacity, with @p event in the middle. */
simulation_result runWithEvent(const simulation_settings &settings, double load, const std::function<void(permit_simulation &)> &event)
{
    permit_simulation simulation(settings);
    setConstantRate(simulation, capacity * load);
    simulation.runArrivals(4s);
    if (event) {
        event(simulation);
    }
    simulation.runArrivals(4s);
    simulation.runToEnd();
    return simulation.result();
}

} // namespace

// Load pattern: one key gets a sixth of the traffic, and its owner never answers requests that it cannot queue. Without permits, the
// instances send independently of each other, so that most requests to the owner end in a timeout.
Test(permit_load, hot_key_does_not_overflow_the_queue_of_its_owner)
{
    simulation_settings settings;
    permit_simulation simulation(settings);
    addHotKey(simulation, 0.16);
    setConstantRate(simulation, 200);
    simulation.runArrivals(10s);
    simulation.runToEnd();
    const simulation_result hot = simulation.result([](std::uint16_t key, std::uint32_t) {
        return key == hotKey;
    });
    cr_expect_eq(hot.overflowed, 0U);
    cr_expect(share(hot.unknown, hot.submitted) < overlongRequestShare, "%zu unknown", hot.unknown);
    // Two worker slots run 77 requests in this time, 28 of them for the other keys of the owner.
    cr_expect(hot.withinLatencyTarget + hot.late >= 45, "%zu of the 49 that can be served", hot.withinLatencyTarget + hot.late);
    cr_expect(hot.withinLatencyTarget > 2 * hot.late, "%zu in time, %zu late", hot.withinLatencyTarget, hot.late);
    cr_expect(hot.longestTimeToRefusal < 800ms);
}

// Load pattern: as above. The other keys of the owner get a fair share of its worker slots.
Test(permit_load, other_keys_of_the_owner_of_a_hot_key_are_served)
{
    simulation_settings settings;
    permit_simulation simulation(settings);
    addHotKey(simulation, 0.16);
    setConstantRate(simulation, 200);
    simulation.runArrivals(30s);
    simulation.runToEnd();
    const std::size_t owner = simulation.ownerOf(hotKey);
    const simulation_result otherKeys = simulation.result([&](std::uint16_t key, std::uint32_t) {
        return key != hotKey && simulation.ownerOf(key) == owner;
    });
    cr_expect(otherKeys.submitted > 40);
    cr_expect(share(otherKeys.withinLatencyTarget + otherKeys.late, otherKeys.submitted) > 0.9,
              "%zu of %zu served",
              otherKeys.withinLatencyTarget + otherKeys.late,
              otherKeys.submitted);
    cr_expect(share(otherKeys.withinLatencyTarget, otherKeys.submitted) > 0.8, "%zu of %zu in time", otherKeys.withinLatencyTarget, otherKeys.submitted);
}

// Load pattern: the load rises to 1.4 times the capacity for 4 s. The endpoints stay busy with requests that can be answered in time.
Test(permit_load, temporary_overload_is_served_up_to_capacity)
{
    simulation_settings settings;
    permit_simulation simulation(settings);
    simulation.perSecond = [](time_span since) {
        return since < 3s || since > 7s ? capacity * 0.5 : capacity * 1.4;
    };
    simulation.runArrivals(10s);
    simulation.runToEnd();
    const simulation_result all = simulation.result();
    cr_expect_eq(all.overflowed, 0U);
    cr_expect(static_cast<double>(all.withinLatencyTarget + all.late) > capacity * (6 * 0.5 + 4 * 0.85),
              "%zu of %zu",
              all.withinLatencyTarget + all.late,
              all.submitted);
    cr_expect(share(all.late, all.withinLatencyTarget + all.late) < 0.12, "%zu late", all.late);
}

// Load pattern: overload by requests of two priorities for the same endpoints, at all instances.
Test(permit_load, urgent_requests_come_first_across_instances)
{
    simulation_settings settings;
    permit_simulation simulation(settings);
    simulation.drawPriority = [](std::mt19937_64 &random) {
        return std::uniform_int_distribution<std::uint32_t>(0, 1)(random) * 2;
    };
    setConstantRate(simulation, capacity * 1.2);
    simulation.runArrivals(8s);
    simulation.runToEnd();
    const auto ofPriority = [&](std::uint32_t wanted) {
        const simulation_result each = simulation.result([&](std::uint16_t, std::uint32_t priority) {
            return priority == wanted;
        });
        return share(each.withinLatencyTarget + each.late, each.submitted);
    };
    // An urgent request still waits until a worker slot has finished its present request.
    cr_expect(ofPriority(0) > 0.9, "%.2f of the urgent ones", ofPriority(0));
    cr_expect(ofPriority(0) > ofPriority(2) + 0.15, "%.2f of the urgent ones, %.2f of the others", ofPriority(0), ofPriority(2));
    cr_expect(ofPriority(2) > 0.5, "%.2f of the others", ofPriority(2));
}

// Load pattern: a third of the endpoints are twelve times slower. Requests in excess of their capacity are refused early.
Test(permit_load, slow_endpoints_refuse_early)
{
    simulation_settings settings;
    permit_simulation simulation(settings);
    for (std::size_t i = 0; i < settings.endpoints; i += 3) {
        simulation.setSlowness(i, 12);
    }
    setConstantRate(simulation, capacity * lowLoad);
    simulation.runArrivals(10s);
    simulation.runToEnd();
    const simulation_result fast = simulation.result([&](std::uint16_t key, std::uint32_t) {
        return simulation.ownerOf(key) % 3 != 0;
    });
    cr_expect(share(fast.withinLatencyTarget, fast.submitted) > 0.93, "%zu of %zu at the fast ones", fast.withinLatencyTarget, fast.submitted);
    cr_expect_eq(simulation.result().overflowed, 0U);
}

// Load pattern: a service that is not divided by key, with more instances than endpoints. An endpoint that looks idle to many
// instances at once does not get more requests than it can queue.
Test(permit_load, idle_endpoint_is_not_overflowed_by_many_instances)
{
    simulation_settings settings;
    settings.dividedByKey = false;
    settings.endpoints = 18;
    permit_simulation simulation(settings);
    setConstantRate(simulation, 18 * 2 / 0.26 * 0.8);
    simulation.runArrivals(10s);
    simulation.runToEnd();
    const simulation_result all = simulation.result();
    cr_expect_eq(all.overflowed, 0U);
    cr_expect(share(all.withinLatencyTarget, all.submitted) > 0.97, "%zu of %zu in time", all.withinLatencyTarget, all.submitted);
}

// Load pattern: half of the endpoints of a service deliberately refuse half of their requests, which are then sent to others.
Test(permit_load, requests_refused_by_an_endpoint_go_to_others)
{
    simulation_settings settings;
    settings.dividedByKey = false;
    settings.instances = 20;
    settings.endpoints = 18;
    permit_simulation simulation(settings);
    for (std::size_t i = 0; i < 9; ++i) {
        simulation.setRefusalShare(i, 0.5);
    }
    setConstantRate(simulation, 18 * 2 / 0.26 * 0.3);
    simulation.runArrivals(30s);
    simulation.runToEnd();
    const simulation_result all = simulation.result();
    cr_expect(share(all.withinLatencyTarget + all.late, all.submitted) > 0.95, "%zu of %zu served", all.withinLatencyTarget + all.late, all.submitted);
}

// Load pattern: all owners of keys deliberately refuse about half of their requests. Their worker slots are idle, so that no request
// is refused for its expected waiting time.
Test(permit_load, owners_that_refuse_requests_do_not_count_as_slow)
{
    std::size_t submitted = 0;
    std::size_t inTime = 0;
    std::size_t ran = 0;
    // By chance, single runs fall below a half.
    constexpr std::uint64_t runs = 8;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        simulation_settings settings;
        settings.seed = seed;
        permit_simulation simulation(settings);
        for (std::size_t i = 0; i < settings.endpoints; ++i) {
            simulation.setRefusalShare(i, 0.55);
        }
        setConstantRate(simulation, capacity * lowLoad);
        simulation.runArrivals(10s);
        simulation.runToEnd();
        const simulation_result all = simulation.result();
        submitted += all.submitted;
        inTime += all.withinLatencyTarget;
        ran += all.ran;
    }
    // The first attempt succeeds for 45 of 100 requests, and the retry budget is a fifth of the requests.
    cr_expect(share(inTime, submitted) > 0.5, "%zu of %zu in time", inTime, submitted);
    cr_expect(share(ran, submitted) > 0.5, "%zu of %zu ran", ran, submitted);
}

// Load pattern: a service that is not divided by key, with all requests arriving in one zone. Requests that would wait there are sent
// to other zones.
Test(permit_load, work_goes_to_another_zone_before_it_waits)
{
    simulation_settings settings;
    settings.dividedByKey = false;
    settings.endpoints = 18;
    settings.callerZone = 0;
    permit_simulation simulation(settings);
    // A third more than the capacity of the zone, and less than half of the capacity of all zones.
    setConstantRate(simulation, 6 * 2 / 0.26 * 1.3);
    simulation.runArrivals(10s);
    simulation.runToEnd();
    const simulation_result all = simulation.result();
    cr_expect(share(all.withinLatencyTarget, all.submitted) > 0.97, "%zu of %zu in time", all.withinLatencyTarget, all.submitted);
    cr_expect(all.meanTime < 390ms,
              "%ld ms on average, of which 260 are work",
              static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(all.meanTime).count()));
}

// Load pattern: the coordinators of a fifth of the endpoints crash under load. Others replace them within some 100 ms, and no request
// runs twice.
Test(permit_load, crashed_coordinators_are_replaced_under_load)
{
    const simulation_result undisturbed = runWithEvent({}, 0.7, nullptr);
    const simulation_result all = runWithEvent({}, 0.7, [](permit_simulation &simulation) {
        for (std::size_t i = 0; i < 60; i += 5) {
            simulation.crash(simulation.coordinatorOf(i));
        }
    });
    cr_expect_eq(all.ranTwice, 0U);
    cr_expect(share(all.withinLatencyTarget, all.submitted) > share(undisturbed.withinLatencyTarget, undisturbed.submitted) - 0.03,
              "%zu of %zu in time",
              all.withinLatencyTarget,
              all.submitted);
    cr_expect(share(all.unknown, all.submitted) < overlongRequestShare, "%zu unknown", all.unknown);
}

// At a planned stop of the coordinators of half of the endpoints, waiting requests are handed over to other coordinators.
Test(permit_load, queues_are_handed_over_at_a_planned_stop)
{
    const simulation_result undisturbed = runWithEvent({}, 0.7, nullptr);
    const simulation_result all = runWithEvent({}, 0.7, [](permit_simulation &simulation) {
        for (std::size_t i = 0; i < 60; i += 2) {
            simulation.resign(simulation.coordinatorOf(i));
        }
    });
    cr_expect(share(all.unknown, all.submitted) < overlongRequestShare, "%zu unknown", all.unknown);
    cr_expect(share(all.withinLatencyTarget, all.submitted) > share(undisturbed.withinLatencyTarget, undisturbed.submitted) - 0.02,
              "%zu of %zu in time",
              all.withinLatencyTarget,
              all.submitted);
}

// One in fifty messages between instances is lost.
Test(permit_load, lost_messages_are_retried)
{
    simulation_settings lossy;
    lossy.lostMessageShare = 0.02;
    const simulation_result undisturbed = runWithEvent({}, 0.6, nullptr);
    const simulation_result all = runWithEvent(lossy, 0.6, nullptr);
    cr_expect_eq(all.ranTwice, 0U);
    cr_expect(share(all.unknown, all.submitted) < overlongRequestShare, "%zu unknown", all.unknown);
    cr_expect(share(all.withinLatencyTarget, all.submitted) > share(undisturbed.withinLatencyTarget, undisturbed.submitted) - 0.02,
              "%zu of %zu in time",
              all.withinLatencyTarget,
              all.submitted);
}

// For comparison, sending without permits: the same load overflows the queue of the hot key's owner.
Test(permit_load, sending_without_permits_overflows_the_owner_of_a_hot_key)
{
    simulation_settings settings;
    settings.policy = sending_policy::direct;
    permit_simulation simulation(settings);
    addHotKey(simulation, 0.16);
    setConstantRate(simulation, 200);
    simulation.runArrivals(10s);
    simulation.runToEnd();
    cr_expect(simulation.result().overflowed > 0);
}
