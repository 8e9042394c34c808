#include "permit_simulation.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

// Time within which all instances know of an evacuation, and a request that was sent before arrives.
constexpr time_span spread = 800ms;
constexpr time_span networkDelay = 1ms;

/** A service that is not divided by key, with requests of three priorities at a share of the capacity. */
struct loaded_simulation : permit_simulation {
    explicit loaded_simulation(double load)
        : permit_simulation(undivided())
    {
        // 60 endpoints with 2 worker slots, and a run time of 260 ms.
        perSecond = [load](time_span) {
            return 60 * 2 / 0.26 * load;
        };
        drawPriority = [](std::mt19937_64 &random) {
            return std::uniform_int_distribution<std::uint32_t>(0, 2)(random);
        };
        runArrivals(1s);
    }
    static simulation_settings undivided()
    {
        simulation_settings settings;
        settings.dividedByKey = false;
        return settings;
    }
};

} // namespace

// Load pattern: one of three zones is evacuated at two thirds of the capacity, so that the others are fully used. Guards against requests
// to the zone, against refusing what the others can run, and against urgent requests that suffer.
Test(evacuation_load, other_zones_serve_what_they_can)
{
    loaded_simulation simulation(2.0 / 3);
    simulation.setEvacuated(0, true, spread);
    simulation.runArrivals(spread + networkDelay);
    const monotonic_time known = simulation.now();
    simulation.runArrivals(6s);
    cr_expect_eq(simulation.arrivalsInZone(0, known), 0U);
    simulation.setEvacuated(0, false, spread);
    simulation.runArrivals(3s);
    simulation.runToEnd();
    cr_expect(simulation.arrivalsInZone(0, known) > 200);
    for (const std::uint32_t leastUrgent : { 0U, 2U }) {
        const simulation_result result = simulation.result([&](std::uint16_t, std::uint32_t priority) {
            return priority <= leastUrgent;
        });
        const double inTime = static_cast<double>(result.withinLatencyTarget) / static_cast<double>(result.submitted);
        cr_expect(inTime > (leastUrgent == 0 ? 0.98 : 0.95), "%f of the requests of priority %u or less", inTime, leastUrgent);
        cr_expect_eq(result.overflowed, 0U);
    }
}

// Guards against requests to a zone when all zones are evacuated one after another, and against requests that are lost at full endpoints
// because instances that do not know yet send without permits.
Test(evacuation_load, nothing_is_sent_while_all_zones_are_evacuated)
{
    loaded_simulation simulation(1.0 / 3);
    for (std::size_t zone = 0; zone < 3; ++zone) {
        simulation.setEvacuated(zone, true, spread);
        simulation.runArrivals(300ms);
    }
    simulation.runArrivals(spread);
    const monotonic_time known = simulation.now();
    simulation.runArrivals(2s);
    simulation.runToEnd();
    for (std::size_t zone = 0; zone < 3; ++zone) {
        cr_expect_eq(simulation.arrivalsInZone(zone, known), 0U, "zone %zu", zone);
    }
    const simulation_result result = simulation.result();
    cr_expect(result.unknown * 200 < result.submitted, "%zu of %zu unknown", result.unknown, result.submitted);
}
