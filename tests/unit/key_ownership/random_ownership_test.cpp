#include "ownership_simulation.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

namespace
{

void checkSeeds(std::uint64_t first, std::uint64_t last)
{
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        simulation_options options;
        options.seed = seed;
        options.checkTokens = true;
        options.endpointsCheckId = seed % 2 == 0;
        options.connectionLoss = 0.02;
        ownership_simulation simulation(options);
        simulation.run(std::chrono::seconds(40));
        cr_assert(simulation.violations().empty(),
                  "seed %lu: %zu violations, first: %s",
                  seed,
                  simulation.violations().size(),
                  simulation.violations().front().c_str());
        simulation.endFaults();
        simulation.run(std::chrono::seconds(16));
        cr_assert(simulation.violations().empty(), "seed %lu after the faults: %s", seed, simulation.violations().front().c_str());
        cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys(), "seed %lu: %zu keys served", seed, simulation.servedKeys());
    }
}

} // namespace

// Guards against two holders of a key under crashes, reused addresses, unreachable endpoints, late orders, suspended and replaced
// assigners and store outages, and against keys that stay unserved after the faults have ended. The seeds are divided over several
// tests because tests run in parallel.
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
