#include "permit_simulation.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <numeric>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

// Mean work of a request, with a median of 170 ms.
constexpr time_span meanWork = 240ms;
constexpr std::uint32_t slots = 6;

simulation_settings unevenSettings(std::size_t endpoints)
{
    simulation_settings settings;
    settings.dividedByKey = false;
    settings.endpoints = endpoints;
    settings.slots = slots;
    settings.work = meanWork;
    settings.workLogMean = -0.345;
    settings.workLogDeviation = 0.83;
    settings.latencyTarget = 500ms;
    settings.timeout = 2500ms;
    return settings;
}

/** Sets the load as a share of what worker slots of typical speed can run. */
void setLoad(permit_simulation &simulation, std::size_t endpoints, double share)
{
    simulation.perSecond = [=](time_span) {
        return static_cast<double>(endpoints * slots) / std::chrono::duration<double>(meanWork).count() * share;
    };
}

} // namespace

// Load pattern: 3 of 34 endpoints reset each request for 8 s, at half of the capacity. Guards against endpoints that get several times
// their share of the requests because they look idle and fast.
Test(uneven_endpoints, endpoints_that_reset_each_request_get_few)
{
    constexpr std::size_t endpoints = 34;
    permit_simulation simulation(unevenSettings(endpoints));
    setLoad(simulation, endpoints, 0.5);
    simulation.runArrivals(2s);
    std::array<std::size_t, endpoints> arrived{};
    for (std::size_t i = 0; i < endpoints; ++i) {
        arrived[i] = simulation.arrivedAt(i);
        simulation.setResetting(i, i < 3);
    }
    simulation.runArrivals(8s);
    for (std::size_t i = 0; i < endpoints; ++i) {
        arrived[i] = simulation.arrivedAt(i) - arrived[i];
        cr_expect(i >= 3 || arrived[i] <= 12, "%zu requests at the failing endpoint %zu", arrived[i], i);
    }
    const auto [fewest, most] = std::minmax_element(arrived.begin() + 3, arrived.end());
    const double mean = static_cast<double>(std::accumulate(arrived.begin() + 3, arrived.end(), std::size_t{ 0 })) / (endpoints - 3);
    // Endpoints of equal speed are to be used within 1.6 times the mean, and none is left out.
    cr_expect(static_cast<double>(*most) < 1.6 * mean, "%zu requests at the busiest of the others, %.0f in the mean", *most, mean);
    cr_expect(static_cast<double>(*fewest) > 0.1 * mean, "%zu requests at the least used, %.0f in the mean", *fewest, mean);
    simulation.runToEnd();
    cr_expect(simulation.result().unknown <= 36, "%zu unknown", simulation.result().unknown);
}

// Load pattern: 3 of 34 endpoints no longer answer for 15 s, at half of the capacity. Guards against an endpoint that gets requests again and
// again which end without an answer.
Test(uneven_endpoints, endpoints_that_do_not_answer_get_few)
{
    constexpr std::size_t endpoints = 34;
    permit_simulation simulation(unevenSettings(endpoints));
    setLoad(simulation, endpoints, 0.5);
    simulation.runArrivals(2s);
    for (std::size_t i = 0; i < 3; ++i) {
        simulation.setSlowness(i, 1000);
    }
    simulation.runArrivals(15s);
    simulation.runToEnd();
    // Seven are in flight at each when it stops answering, and a few trials follow.
    cr_expect(simulation.result().unknown <= 36, "%zu unknown", simulation.result().unknown);
}

// Load pattern: endpoints of speeds 0.5, 1, 1 and 1.5 at two thirds of the capacity, each three times slower in a fifth of all intervals
// of 0.4 s. Guards against requests that are late because the speed of an endpoint, lasting or momentary, is not used.
Test(uneven_endpoints, requests_go_where_they_are_answered_in_time)
{
    constexpr std::size_t endpoints = 32;
    simulation_settings settings = unevenSettings(endpoints);
    settings.slowIntervalShare = 0.2;
    permit_simulation simulation(settings);
    const std::array<double, 4> speeds{ 0.5, 1, 1, 1.5 };
    for (std::size_t i = 0; i < endpoints; ++i) {
        simulation.setSlowness(i, 1 / speeds[i % speeds.size()]);
    }
    // In a fifth of the time, the endpoints run at a third of their speed.
    setLoad(simulation, endpoints, 2.0 / 3 * (0.8 + 0.2 / 3));
    simulation.runArrivals(30s);
    simulation.runToEnd();
    const simulation_result all = simulation.result();
    const double late = static_cast<double>(all.late) / static_cast<double>(all.withinLatencyTarget + all.late);
    const double served = static_cast<double>(all.withinLatencyTarget + all.late) / static_cast<double>(all.submitted);
    cr_expect(late < 0.15, "%.3f late", late);
    cr_expect(served > 0.99, "%.3f served, %zu refused, %zu unknown", served, all.refused, all.unknown);
}

// Load pattern: three zones, all callers in one of them, 0.95 of the capacity, endpoints of speeds 0.6, 1 and 1.4. Guards against requests that
// ask one zone after another and block those that wait in a zone for good, so that worker slots stay idle.
Test(uneven_endpoints, requests_that_ask_other_zones_block_no_others)
{
    constexpr std::size_t endpoints = 36;
    constexpr std::uint32_t workerSlots = 3;
    constexpr time_span work = 130ms;
    simulation_settings settings;
    settings.dividedByKey = false;
    settings.endpoints = endpoints;
    settings.slots = workerSlots;
    settings.work = work;
    settings.latencyTarget = 600ms;
    settings.timeout = 2s;
    settings.callerZone = 0;
    permit_simulation simulation(settings);
    const std::array<double, 4> speeds{ 0.6, 1, 1.4, 1 };
    for (std::size_t i = 0; i < endpoints; ++i) {
        simulation.setSlowness(i, 1 / speeds[i % speeds.size()]);
    }
    simulation.perSecond = [=](time_span) {
        return endpoints * workerSlots / std::chrono::duration<double>(work).count() * 0.95;
    };
    simulation.runArrivals(15s);
    simulation.runToEnd();
    const simulation_result all = simulation.result();
    // Below the capacity, hardly any request has to be refused.
    cr_expect(all.refused * 200 < all.submitted, "%zu of %zu refused", all.refused, all.submitted);
}
