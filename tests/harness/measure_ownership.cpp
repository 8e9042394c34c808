#include "live_list_baseline.h"
#include "ownership_measures.h"

#include <docopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

using namespace sycamoretray;
using namespace sycamoretray::harness;
using nlohmann::json;

namespace
{

constexpr auto usage = R"(Measures unserved time, ownership churn and log traffic of a simulated cluster in virtual time.

Prints one JSON object per line. 8 instances, 20 servers in 3 availability zones, clocks within the drift margin.

Usage:
  measure_ownership [--first=SEED] [--seeds=COUNT]

Options:
  --first=SEED   First seed [default: 1].
  --seeds=COUNT  Number of seeds [default: 5].
)";

constexpr std::size_t baselineServers = 20;
constexpr std::size_t baselineEntryInstances = 8;

struct baseline_values {
    std::vector<double> lossSeconds;
    std::vector<double> lossRatio;
    std::vector<double> joinRatio;
    std::vector<double> flappingMoved;
    std::size_t changesWithTwoOwners = 0;
    std::size_t changes = 0;
};

baseline_values measureBaseline(const placement_policy &policy, std::uint64_t firstSeed, std::uint64_t seeds)
{
    baseline_values values;
    const auto count = [&values](const baseline_change &change) {
        values.changes += 1;
        values.changesWithTwoOwners += change.twoOwners > 0 ? 1 : 0;
        return change;
    };
    const double share = static_cast<double>(hashSlotCount) / baselineServers;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        seeded_random random(seed);
        live_list_baseline baseline(policy, baselineServers, baselineEntryInstances, random);
        const std::size_t server = random.below(baselineServers);
        const baseline_change loss = count(baseline.change(server, false, false));
        values.lossSeconds.push_back(std::chrono::duration<double>(loss.lastSwitch).count());
        values.lossRatio.push_back(static_cast<double>(loss.moved) / share);
        values.joinRatio.push_back(static_cast<double>(count(baseline.change(server, true, true)).moved) / share);
        const std::size_t flapping = random.below(baselineServers);
        const std::size_t gone = count(baseline.change(flapping, false, true)).moved;
        values.flappingMoved.push_back(static_cast<double>(gone + count(baseline.change(flapping, true, true)).moved));
    }
    return values;
}

double highest(const std::vector<double> &values)
{
    return *std::max_element(values.begin(), values.end());
}

/** Prints measurements as JSON rows that share the seeds and the command. */
class row_printer
{
public:
    row_printer(const ownership_measures &measures, std::uint64_t first, std::uint64_t seeds)
        : m_measures(measures)
        , m_seeds(std::to_string(first) + "-" + std::to_string(first + seeds - 1))
        , m_command("measure_ownership --first=" + std::to_string(first) + " --seeds=" + std::to_string(seeds))
    {
    }

    void print(const std::string &measure, const json &target, const json &value, const std::string &unit, const json &baseline) const
    {
        std::cout << json{
            { "measure", measure },   { "target", target }, { "value", value },      { "unit", unit },
            { "baseline", baseline }, { "seeds", m_seeds }, { "command", m_command }
        }.dump() << std::endl;
    }

    void printQuantiles(const std::string &measure, const json &target, const json &baseline) const
    {
        print(measure + ", p50", nullptr, m_measures.quantile(measure, 0.5), "ms", nullptr);
        print(measure + ", p99", target, m_measures.quantile(measure, 0.99), "ms", baseline);
    }

    void printMaximum(const std::string &measure, const json &target, const std::string &unit, const json &baseline) const
    {
        print(measure + ", maximum", target, m_measures.maximum(measure), unit, baseline);
    }

private:
    const ownership_measures &m_measures;
    std::string m_seeds;
    std::string m_command;
};

} // namespace

int main(int argc, char **argv)
{
    auto options = docopt::docopt(usage, { argv + 1, argv + argc });
    const std::uint64_t first = std::stoull(options["--first"].asString());
    const std::uint64_t seeds = std::stoull(options["--seeds"].asString());
    const baseline_values ring = measureBaseline(bounded_ring_policy{}, first, seeds);
    const baseline_values rendezvous = measureBaseline(rendezvous_policy{}, first, seeds);
    const auto both = [&](const std::vector<double> baseline_values::*member, double scale) {
        return json{ { "bounded_ring", highest(ring.*member) * scale }, { "rendezvous", highest(rendezvous.*member) * scale } };
    };
    ownership_measures measures;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        measures.run(seed);
    }
    const row_printer printer(measures, first, seeds);
    printer.printQuantiles("unserved time after loss of a server", 2000, both(&baseline_values::lossSeconds, 1000));
    for (const std::string lost : { "home", "server and home" }) {
        printer.printQuantiles("unserved time after loss of a " + lost, 2000, nullptr);
    }
    for (const std::string lost : { "server", "home", "server and home" }) {
        printer.printQuantiles("unserved time after loss of a " + lost + ", log out for 5 s", nullptr, nullptr);
    }
    printer.printQuantiles("unserved time of a planned move", 20, nullptr);
    printer.printQuantiles("unserved time of a planned stop", 20, nullptr);
    printer.printMaximum("keys moved on loss", 1.05, "times the minimum", both(&baseline_values::lossRatio, 1));
    printer.printMaximum("keys moved on join", 1.05, "times the minimum", both(&baseline_values::joinRatio, 1));
    printer.printMaximum("keys moved on leave", 1.05, "times the minimum", both(&baseline_values::lossRatio, 1));
    printer.printMaximum("keys moved by flickering reports", 0, "slots", both(&baseline_values::flappingMoved, 1));
    printer.printMaximum("keys moved by one instance's restart", 0, "slots", nullptr);
    printer.printMaximum("appends, steady", 2, "1/s", nullptr);
    printer.printMaximum("appends, zone lost", 50, "1/s", nullptr);
    printer.printMaximum("appends, all instances replaced in turn", 50, "1/s", nullptr);
    printer.printMaximum("configuration in force everywhere", 5, "s", nullptr);
    printer.printMaximum("start of a new instance", 1, "s", nullptr);
    const auto share = [](const baseline_values &values) {
        return static_cast<double>(values.changesWithTwoOwners) / static_cast<double>(values.changes);
    };
    printer.printMaximum("runs with a violation", 0, "1 if any", nullptr);
    printer.print("changes of the servers with two owners of a key, baselines only",
                  nullptr,
                  nullptr,
                  "share of changes",
                  { { "bounded_ring", share(ring) }, { "rendezvous", share(rendezvous) } });
    return 0;
}
