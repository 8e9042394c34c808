#include "ownership_world.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

namespace
{

void checkSeeds(std::uint64_t first, std::uint64_t last)
{
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        ownership_world world({ seed, 6, std::chrono::milliseconds(700), true });
        world.run(std::chrono::seconds(40));
        cr_assert(world.violations().empty(), "seed %lu: %zu violations, first: %s", seed, world.violations().size(), world.violations().front().c_str());
        world.calm();
        world.run(std::chrono::seconds(16));
        cr_assert(world.violations().empty(), "seed %lu after the faults: %s", seed, world.violations().front().c_str());
        cr_expect_eq(world.servedKeys(), ownership_world::watchedKeys(), "seed %lu: %zu keys served", seed, world.servedKeys());
    }
}

} // namespace

// Guards against two owners of a key under crashes, reused addresses, cuts, late orders, frozen and replaced assigners, and
// outages of the store; and against keys that stay unserved when the faults have ended. The seeds are divided because tests run
// side by side.
Test(random_ownership, at_most_one_owner_and_recovery_1)
{
    checkSeeds(1, 50);
}

Test(random_ownership, at_most_one_owner_and_recovery_2)
{
    checkSeeds(51, 100);
}

Test(random_ownership, at_most_one_owner_and_recovery_3)
{
    checkSeeds(101, 150);
}

Test(random_ownership, at_most_one_owner_and_recovery_4)
{
    checkSeeds(151, 200);
}
