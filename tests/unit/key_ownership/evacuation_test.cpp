#include "ownership_simulation.h"

#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

const std::size_t allKeys = ownership_simulation::watchedKeys();

/** 24 endpoints in three zones. All keys are assigned. */
struct zone_simulation : ownership_simulation {
    explicit zone_simulation(std::uint64_t seed)
        : ownership_simulation({ .seed = seed, .endpoints = 24, .faults = false, .checkTokens = true })
    {
        run(3s);
    }
    void forZones(std::size_t first, std::size_t last, const std::function<void(std::size_t endpoint)> &action)
    {
        for (std::size_t i = first * 8; i < (last + 1) * 8; ++i) {
            action(i);
        }
    }
    void setZonesEvacuated(std::size_t first, std::size_t last, bool evacuated)
    {
        forZones(first, last, [&](std::size_t endpoint) {
            setEvacuated(endpoint, evacuated);
        });
    }
};

} // namespace

// Guards against keys that leave evacuated zones a few at a time, as moves to balance load do, or that are unserved for longer than in a
// planned move, and against keys without an owner while all zones are evacuated; with records that are removed and written again.
Test(key_evacuation, all_keys_leave_at_once)
{
    zone_simulation simulation(1);
    for (int round = 0; round < 2; ++round) {
        simulation.setZonesEvacuated(0, 1, true);
        simulation.run(600ms);
        cr_expect_eq(simulation.heldKeys(false), allKeys, "round %d: %zu keys in evacuated zones", round, simulation.heldKeys(true));
        simulation.setZonesEvacuated(2, 2, true);
        simulation.run(3s);
        cr_expect_eq(simulation.heldKeys(true), allKeys);
        simulation.setZonesEvacuated(0, 2, false);
        simulation.run(6s);
    }
    cr_expect(simulation.longestUnserved() < 150ms, "%ld us", static_cast<long>(simulation.longestUnserved().count()));
    cr_expect(simulation.violations().empty());
}

// Guards against keys that stay in an evacuated zone when the assigner is lost while they move, or that get two holders.
Test(key_evacuation, successor_of_a_lost_assigner_moves_the_rest)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        zone_simulation simulation(seed);
        simulation.setZonesEvacuated(0, 0, true);
        simulation.run(std::chrono::milliseconds(10 * seed));
        simulation.replaceAssigner();
        simulation.run(1500ms);
        cr_expect_eq(simulation.heldKeys(false), allKeys, "seed %lu: %zu keys in the evacuated zone", seed, simulation.heldKeys(true));
        cr_expect(simulation.violations().empty(), "seed %lu", seed);
    }
}

// Guards against an assigner that takes two evacuated zones that are shut down for a lost path of its own, and then moves no keys.
Test(key_evacuation, zones_that_are_shut_down_do_not_stop_moves)
{
    zone_simulation simulation(3);
    simulation.forZones(0, 1, [&](std::size_t endpoint) {
        simulation.setUnreachable(endpoint, true);
    });
    simulation.run(4s);
    cr_expect(simulation.servedKeys() < allKeys);
    simulation.setZonesEvacuated(0, 1, true);
    simulation.run(4s);
    cr_expect_eq(simulation.servedKeys(), allKeys);
    cr_expect(simulation.violations().empty());
}
