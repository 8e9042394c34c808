#include "measurements.h"

#include <docopt/docopt.h>

#include <iostream>

using namespace sycamoretray;

namespace
{

const char *const usage = R"(Measures the request logic in virtual time and prints one JSON row per figure.

Usage:
  measure_dispatch [--seeds N] [MEASURE...]
  measure_dispatch --help

Options:
  --seeds N  Arrival scripts per figure, with seeds 1 to N [default: 20].

Measures: short_beside_long overload retries flood balance crashes cost_idle cost_queued cost_remembered (all if none is
named)
)";

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true);
    const auto seeds = static_cast<std::uint64_t>(arguments.at("--seeds").asLong());
    std::map<std::string, measurement> measures = loadMeasurements();
    measures.merge(placementMeasurements());
    measures.merge(costMeasurements());
    std::vector<std::string> wanted = arguments.at("MEASURE").asStringList();
    if (wanted.empty()) {
        for (const auto &each : measures) {
            wanted.push_back(each.first);
        }
    }
    for (const std::string &name : wanted) {
        const auto found = measures.find(name);
        if (found == measures.end()) {
            std::cerr << "measure_dispatch: unknown measure '" << name << "'; see --help\n";
            return 2;
        }
        for (const measurement_row &row : found->second(seeds)) {
            printRow(row, "measure_dispatch --seeds " + std::to_string(seeds) + " " + name);
        }
    }
    return 0;
}
