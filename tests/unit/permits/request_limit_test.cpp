#include "permit_simulation.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

/** A site whose endpoints can run 12 requests a second each. */
simulation_settings site(std::size_t instances)
{
    simulation_settings settings;
    settings.instances = instances;
    settings.endpoints = 12;
    settings.work = 150ms;
    return settings;
}

/** Lets the first half of the endpoints name limits from 1.5 to 9 requests a second. */
void limitHalfOfTheEndpoints(permit_simulation &simulation)
{
    for (std::size_t i = 0; i < 6; ++i) {
        simulation.setRequestLimit(i, request_rate(1.5 * static_cast<double>(i + 1)));
    }
}

/** Runs 4 s without limits and 16 s with them at nine tenths of what the endpoints can run, with @p event in the middle. */
void runWithLimits(permit_simulation &simulation, const std::function<void(permit_simulation &)> &event = nullptr)
{
    simulation.perSecond = [](time_span) {
        return 12 * 12 * 0.9;
    };
    simulation.runArrivals(4s);
    limitHalfOfTheEndpoints(simulation);
    simulation.runArrivals(8s);
    if (event) {
        event(simulation);
    }
    simulation.runArrivals(8s);
    simulation.runToEnd();
}

void expectWithinLimits(const permit_simulation &simulation)
{
    for (std::size_t i = 0; i < 6; ++i) {
        const double excess = simulation.excessOverRequestLimit(i);
        cr_expect(excess <= 0, "endpoint %zu got %.1f requests too many in 4 s", i, excess);
    }
}

} // namespace

// Guards against instances of a small site that together send more to an endpoint than the request limit that it names.
Test(request_limit, few_instances_together_stay_within_it)
{
    permit_simulation simulation(site(12));
    runWithLimits(simulation);
    expectWithinLimits(simulation);
}

// As above, for a site that sends all requests with permits.
Test(request_limit, many_instances_together_stay_within_it)
{
    permit_simulation simulation(site(60));
    runWithLimits(simulation);
    expectWithinLimits(simulation);
}

// As above, for a service that is not divided by key.
Test(request_limit, applies_to_services_that_are_not_divided_by_key)
{
    for (const std::size_t instances : { 12U, 60U }) {
        simulation_settings settings = site(instances);
        settings.dividedByKey = false;
        permit_simulation simulation(settings);
        runWithLimits(simulation);
        expectWithinLimits(simulation);
    }
}

// Guards against a new coordinator that grants again what the lost one has granted already.
Test(request_limit, holds_while_coordinators_are_lost)
{
    for (const std::size_t instances : { 12U, 60U }) {
        permit_simulation simulation(site(instances));
        runWithLimits(simulation, [](permit_simulation &running) {
            running.crash(running.coordinatorOf(1));
            running.resign(running.coordinatorOf(4));
        });
        expectWithinLimits(simulation);
    }
}

// Guards against two coordinators of one queue that each grant the whole limit: the first one restarts soon, and only some instances know.
Test(request_limit, holds_while_a_coordinator_restarts)
{
    for (const std::size_t instances : { 12U, 60U }) {
        permit_simulation simulation(site(instances));
        // Only the endpoints that name a limit get requests.
        simulation.drawKey = [](std::mt19937_64 &random) {
            return static_cast<std::uint16_t>(std::uniform_int_distribution<std::uint32_t>(0, keyCount / 2 - 1)(random));
        };
        runWithLimits(simulation, [](permit_simulation &running) {
            const std::size_t restarted = running.coordinatorOf(1);
            running.resign(restarted);
            running.runArrivals(500ms);
            running.crash(restarted);
            running.runArrivals(500ms);
            running.restart(restarted);
        });
        expectWithinLimits(simulation);
    }
}

// Guards against instances that send without a permit when messages between instances are lost.
Test(request_limit, holds_while_messages_are_lost)
{
    for (const std::size_t instances : { 12U, 60U }) {
        simulation_settings settings = site(instances);
        settings.lostMessageShare = 0.05;
        permit_simulation simulation(settings);
        runWithLimits(simulation);
        expectWithinLimits(simulation);
    }
}
