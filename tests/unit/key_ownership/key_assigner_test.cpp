#include "ownership_world.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

namespace
{

ownership_world settledWorld()
{
    return ownership_world({ 7, 6, std::chrono::seconds(1), false });
}

} // namespace

// Guards against keys that are not dealt out at the start.
Test(key_assigner, deals_out_all_keys)
{
    ownership_world world = settledWorld();
    world.run(std::chrono::seconds(3));
    cr_expect_eq(world.servedKeys(), ownership_world::watchedKeys());
    cr_expect(world.violations().empty());
}

// Guards against grants that lapse while the store is away.
Test(key_assigner, grants_outlast_an_outage_of_the_store)
{
    ownership_world world = settledWorld();
    world.run(std::chrono::seconds(3));
    world.setStoreAway(true);
    // The longest outage of the sites' days, and the time in which the groups deal the lead anew.
    world.run(std::chrono::seconds(11));
    cr_expect_eq(world.servedKeys(), ownership_world::watchedKeys());
    cr_expect(world.longestUnserved() < std::chrono::milliseconds(50));
}

// Guards against keys that go unserved while their assigner is replaced.
Test(key_assigner, replacement_of_the_assigner_interrupts_nothing)
{
    ownership_world world = settledWorld();
    world.run(std::chrono::seconds(3));
    world.replaceAssigner();
    world.run(std::chrono::seconds(6));
    cr_expect_eq(world.servedKeys(), ownership_world::watchedKeys());
    cr_expect(world.longestUnserved() < std::chrono::milliseconds(50));
    cr_expect(world.violations().empty());
}

// Guards against waiting for a lapse when an endpoint that leaves can be asked to release its keys.
Test(key_assigner, keys_of_a_draining_endpoint_move_at_once)
{
    ownership_world world = settledWorld();
    world.run(std::chrono::seconds(3));
    world.setDraining(2);
    world.run(std::chrono::seconds(1));
    cr_expect_eq(world.servedKeys(), ownership_world::watchedKeys());
    cr_expect(world.longestUnserved() < std::chrono::milliseconds(150));
    cr_expect(world.violations().empty());
}

// Guards against keys of a lost endpoint that stay unserved for longer than its grant lasts and a replacement takes.
Test(key_assigner, keys_of_a_lost_endpoint_are_served_again)
{
    ownership_world world = settledWorld();
    world.run(std::chrono::seconds(3));
    world.crash(1);
    world.run(std::chrono::seconds(5));
    cr_expect_eq(world.servedKeys(), ownership_world::watchedKeys());
    // A renewal interval, an order without an answer, a grant on a slow clock, and 200 ms for the decision and the new grant.
    const assigner_settings settings;
    const auto lapse = std::chrono::duration_cast<time_span>(settings.grantLength * (1 + settings.clockDrift)) + settings.lapseMargin;
    cr_expect(world.longestUnserved() < settings.renewInterval + std::chrono::milliseconds(250) + lapse + std::chrono::milliseconds(200));
    cr_expect(world.violations().empty());
}

// Guards against taking a process for the one that had its address before: it was granted keys as its predecessor, whose
// keys were then given to others at once because the predecessor had ended.
Test(key_assigner, successor_at_an_address_is_asked_to_release_what_it_was_granted)
{
    ownership_world world = settledWorld();
    world.run(std::chrono::seconds(3));
    world.crash(1);
    world.run(std::chrono::milliseconds(300));
    // The entry of the old process is still there when the new one answers, and the new one registers late.
    world.restart(1, std::chrono::milliseconds(1400));
    world.run(std::chrono::seconds(8));
    cr_expect(world.violations().empty(), "%s", world.violations().empty() ? "" : world.violations().front().c_str());
    cr_expect_eq(world.servedKeys(), ownership_world::watchedKeys());
}
