#include "ownership_simulation.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

namespace
{

constexpr std::uint64_t seeds = 20;

simulation_options checkedOptions(std::uint64_t seed, bool faults)
{
    simulation_options options;
    options.seed = seed;
    options.faults = faults;
    options.checkTokens = true;
    options.endpointsCheckId = seed % 2 == 0;
    options.connectionLoss = 0.02;
    return options;
}

void expectNoViolation(const ownership_simulation &simulation, std::uint64_t seed)
{
    cr_expect(simulation.violations().empty(),
              "seed %lu: %zu violations, first: %s",
              seed,
              simulation.violations().size(),
              simulation.violations().empty() ? "" : simulation.violations().front().c_str());
}

} // namespace

// Guards against a renewal that reaches the next process at the address of an endpoint before that process has registered: two
// incarnations then have a key with one token.
Test(restarted_endpoint, renewal_does_not_reach_the_next_process)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ownership_simulation simulation(checkedOptions(seed, false));
        simulation.run(std::chrono::seconds(3));
        simulation.crash(1);
        simulation.run(std::chrono::milliseconds(50 * seed));
        simulation.restart(1, std::chrono::milliseconds(1400));
        simulation.run(std::chrono::seconds(8));
        expectNoViolation(simulation, seed);
        cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys(), "seed %lu", seed);
    }
}

// Guards against the same fault at an endpoint that is cut off from the store, restarts and registers only after the cut.
Test(restarted_endpoint, restart_behind_a_cut_from_the_store)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ownership_simulation simulation(checkedOptions(seed, false));
        simulation.run(std::chrono::seconds(3));
        simulation.crashUnnoticed(1);
        simulation.run(std::chrono::milliseconds(20 * seed));
        simulation.restart(1, std::chrono::seconds(6));
        simulation.run(std::chrono::seconds(12));
        expectNoViolation(simulation, seed);
        cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys(), "seed %lu", seed);
    }
}

// Guards against a new assigner that renews with the tokens of its predecessor at an endpoint that has restarted meanwhile.
Test(restarted_endpoint, restart_while_the_assigner_is_replaced)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ownership_simulation simulation(checkedOptions(seed, false));
        simulation.run(std::chrono::seconds(3));
        simulation.crash(1);
        simulation.run(std::chrono::milliseconds(10 * seed));
        simulation.restart(1, std::chrono::milliseconds(1200));
        simulation.replaceAssigner();
        simulation.run(std::chrono::seconds(8));
        expectNoViolation(simulation, seed);
        cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys(), "seed %lu", seed);
    }
}

// Guards against an assigner that is cut off from the store and grants keys to a process that it has not granted them to before, while a new
// assigner gives them to others.
Test(restarted_endpoint, restart_during_an_outage_of_the_store)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ownership_simulation simulation(checkedOptions(seed, false));
        simulation.run(std::chrono::seconds(3));
        simulation.setStoreUnavailable(true);
        simulation.run(std::chrono::seconds(2));
        simulation.crashUnnoticed(1);
        simulation.run(std::chrono::milliseconds(20 * seed));
        simulation.restart(1, std::chrono::seconds(4));
        simulation.run(std::chrono::seconds(2));
        simulation.setStoreUnavailable(false);
        simulation.run(std::chrono::seconds(8));
        expectNoViolation(simulation, seed);
        cr_expect_eq(simulation.servedKeys(), ownership_simulation::watchedKeys(), "seed %lu", seed);
    }
}

// Guards against other sequences of faults in which an incarnation accepts a token that another one had.
Test(restarted_endpoint, tokens_stay_apart_under_random_faults)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ownership_simulation simulation(checkedOptions(seed, true));
        simulation.run(std::chrono::seconds(30));
        expectNoViolation(simulation, seed);
    }
}
