#include "exploration.h"

#include <docopt.h>

#include <cstdlib>
#include <iostream>

namespace
{

constexpr auto usage = R"(Runs random sequences of faults against a cluster of controllers in virtual time.

Usage:
  explore_seeds [--trace] [--fault=NAME] FIRST LAST

Options:
  --trace       Print every event.
  --fault=NAME  Enable a deliberate defect in every controller.
)";

} // namespace

/** Prints one line per seed. Exits with 1 if a check failed. */
int main(int argc, char **argv)
{
    using namespace sycamoretray::harness;
    auto options = docopt::docopt(usage, { argv + 1, argv + argc });
    sycamoretray::controller_test_faults faults;
    if (options["--fault"].isString()) {
        faults = faultNamed(options["--fault"].asString());
    }
    std::function<void(const std::string &)> trace;
    if (options["--trace"].asBool()) {
        trace = [](const std::string &line) {
            std::cout << line << "\n";
        };
    }
    bool failed = false;
    for (std::uint64_t seed = std::stoull(options["FIRST"].asString()); seed <= std::stoull(options["LAST"].asString()); ++seed) {
        const seed_result result = exploreSeed(seed, faults, trace);
        std::cout << "seed=" << seed << " violations=" << result.violations.size() << " recovery_ms=" << result.recovery.count() / 1000 << std::endl;
        for (const std::string &violation : result.violations) {
            std::cout << "  seed=" << seed << " " << violation << "\n";
        }
        failed = failed || !result.violations.empty();
    }
    return failed ? 1 : 0;
}
