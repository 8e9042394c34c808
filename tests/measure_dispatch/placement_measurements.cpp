#include "least_connections_policy.h"
#include "measurements.h"
#include "policies.h"
#include "simulated_service.h"

#include <algorithm>
#include <numeric>

namespace sycamoretray
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t servers = 6;
constexpr std::size_t entries = 8;
constexpr std::uint32_t slots = 3;
constexpr time_span runTime = 10ms;
constexpr double capacity = servers * slots * 1e6 / 10'000.0;
const monotonic_time begin{ 1s };

using chooser_factory = std::function<std::unique_ptr<endpoint_policy>(std::size_t entry, std::uint64_t seed)>;
using report_alteration = std::function<home_load(std::size_t server, const home_load &load, monotonic_time now)>;

std::unique_ptr<endpoint_policy> makeHomeChooser(std::size_t entry, std::uint64_t seed)
{
    return std::make_unique<home_chooser_policy>(servers, slots, seed * 100 + entry);
}

std::unique_ptr<endpoint_policy> makeLeastConnections(std::size_t entry, std::uint64_t seed)
{
    return std::make_unique<least_connections_policy>(servers, seed * 100 + entry);
}

service_options makeOptions(std::uint64_t seed, const policy_factory &policy, const chooser_factory &choose)
{
    service_options options;
    options.servers = servers;
    options.entries = entries;
    options.dispatch = policy;
    options.seed = seed;
    options.choose = [choose, seed](std::size_t entry) {
        return choose(entry, seed);
    };
    return options;
}

/** Returns the ratio of the busiest server's work to the mean, averaged over windows of 10 s and seeds. */
double busiestToMeanRatio(const chooser_factory &choose, double load, const report_alteration &alterReport, std::uint64_t seeds, std::uint64_t &requests)
{
    constexpr std::size_t windows = 6;
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        arrival_script script(seed);
        script.add({ begin, begin + windows * 10s, load * capacity, runTime, 0.2, 1s, 0, 0 });
        service_options options = makeOptions(seed, dispatcherPolicy(slots), choose);
        options.alterReport = alterReport;
        const auto calls = script.build();
        const auto outcomes = simulated_service(options).run(calls);
        requests += calls.size();
        std::vector<std::vector<double>> work(windows, std::vector<double>(servers));
        for (std::size_t i = 0; i < calls.size(); ++i) {
            if (outcomes[i].code == result_code::ok) {
                work[static_cast<std::size_t>((calls[i].arrival - begin) / 10s)][outcomes[i].server] += static_cast<double>(calls[i].runTime.count());
            }
        }
        for (const auto &each : work) {
            sum += *std::max_element(each.begin(), each.end()) * servers / std::accumulate(each.begin(), each.end(), 0.0);
        }
    }
    return sum / static_cast<double>(windows * seeds);
}

std::vector<measurement_row> balance(std::uint64_t seeds)
{
    struct scenario {
        double load;
        const char *reports;
        report_alteration alterReport;
    };
    const report_alteration wrongOnce = [](std::size_t server, const home_load &load, monotonic_time now) {
        const auto tick = now.time_since_epoch() / 100ms;
        return server == 0 && tick % 100 == 0 ? home_load{} : load;
    };
    const report_alteration zeroAlways = [](std::size_t server, const home_load &load, monotonic_time /*now*/) {
        return server == 0 ? home_load{} : load;
    };
    const std::vector<scenario> scenarios{ { 0.2, "true reports", {} },
                                           { 0.7, "true reports", {} },
                                           { 0.7, "server 0 reports no load once in 10 s", wrongOnce },
                                           { 0.7, "server 0 always reports no load", zeroAlways },
                                           { 0.9, "true reports", {} } };
    std::vector<measurement_row> rows;
    for (const scenario &each : scenarios) {
        std::uint64_t requests = 0;
        std::uint64_t ignored = 0;
        const double own = busiestToMeanRatio(makeHomeChooser, each.load, each.alterReport, seeds, requests);
        const double baseline = busiestToMeanRatio(makeLeastConnections, each.load, each.alterReport, seeds, ignored);
        rows.push_back({ "busiest server / mean, windows of 10 s",
                         "<= 1.05",
                         own,
                         "ratio",
                         "least connections",
                         baseline,
                         seeds,
                         requests,
                         "6 servers, 8 entries, load " + std::to_string(static_cast<int>(each.load * 100)) + " %, " + each.reports });
    }
    return rows;
}

struct crash_result {
    double crashes = 0;
    double othersAnswered = 0;
};

crash_result measureCrashes(const policy_factory &policy, std::uint64_t seeds, std::uint64_t &requests)
{
    crash_result result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        arrival_script script(seed);
        script.add({ begin, begin + 30s, 0.5 * capacity, runTime, 0.2, 5s, 0, 0 });
        // The caller sends the crashing request again every 250 ms.
        for (monotonic_time at = begin + 5s; at < begin + 25s; at += 250ms) {
            scripted_request crashing;
            crashing.arrival = at;
            crashing.runTime = runTime;
            crashing.relativeDeadline = 5s;
            crashing.customer = 1;
            crashing.fingerprint = 7;
            crashing.crashesServer = true;
            script.add(crashing);
        }
        simulated_service service(makeOptions(seed, policy, makeHomeChooser));
        const auto calls = script.build();
        const auto outcomes = service.run(calls);
        requests += calls.size();
        double others = 0;
        double answered = 0;
        for (std::size_t i = 0; i < calls.size(); ++i) {
            if (!calls[i].crashesServer) {
                others += 1;
                answered += outcomes[i].code == result_code::ok ? 1 : 0;
            }
        }
        result.crashes += service.crashes();
        result.othersAnswered += answered / others;
    }
    result.crashes /= static_cast<double>(seeds);
    result.othersAnswered /= static_cast<double>(seeds);
    return result;
}

std::vector<measurement_row> crashes(std::uint64_t seeds)
{
    std::uint64_t requests = 0;
    std::uint64_t ignored = 0;
    const crash_result own = measureCrashes(dispatcherPolicy(slots), seeds, requests);
    const crash_result baseline = measureCrashes(firstComePolicy(slots), seeds, ignored);
    const std::string conditions = "6 servers, load 50 %, the bad request is sent 80 times in 20 s";
    return {
        { "server crashes by one bad request", "<= 2", own.crashes, "crashes", "three attempts, no suspects", baseline.crashes, seeds, requests, conditions },
        { "answered requests of the others",
          "-",
          own.othersAnswered,
          "ratio",
          "three attempts, no suspects",
          baseline.othersAnswered,
          seeds,
          requests,
          conditions }
    };
}

} // namespace

std::map<std::string, measurement> placementMeasurements()
{
    return { { "balance", balance }, { "crashes", crashes } };
}

} // namespace sycamoretray
