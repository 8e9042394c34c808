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

constexpr std::uint32_t slots = 3;
constexpr time_span shortRunTime = 10ms;
constexpr time_span longRunTime = 500ms;
constexpr double capacity = slots * 1e6 / 10'000.0;
const monotonic_time begin{ 1s };

double milliseconds(time_span span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

// Short requests together with long ones.

struct workload_mix {
    std::size_t servers = 1;
    /** Worker slots of each server; the arrival rate is always that for three. */
    std::uint32_t workerSlots = slots;
    double spread = 0.2;
    policy_factory policy;
};

enum class short_load {
    /** The short requests of the workload without the long ones. */
    alone,
    /** Only short requests, enough for 70 % load of the worker slots. */
    alone_at_full_load,
    /** The short requests of the workload with the long ones. */
    beside_long,
};

/** Appends the sojourn times of the answered short requests, in milliseconds, and counts all and the refused ones. */
void appendShortTimes(const workload_mix &setup,
                      short_load kind,
                      std::uint64_t seed,
                      std::vector<double> &times,
                      std::uint64_t &requests,
                      std::uint64_t &refused)
{
    // 5 % of the requests take 50 times as long; together with the short ones they cause 70 % load of the worker slots.
    const double perSecond = 0.7 * capacity * static_cast<double>(setup.servers) / (0.95 + 0.05 * 50);
    arrival_script script(seed);
    const double shortPerSecond = kind == short_load::alone_at_full_load ? 0.7 * capacity * static_cast<double>(setup.servers) : 0.95 * perSecond;
    script.add({ begin, begin + 120s, shortPerSecond, shortRunTime, setup.spread, 30s, 0, 0 });
    if (kind == short_load::beside_long) {
        script.add({ begin, begin + 120s, 0.05 * perSecond, longRunTime, setup.spread, 30s, 0, 1 });
    }
    service_options options;
    options.servers = setup.servers;
    options.slots = setup.workerSlots;
    options.dispatch = setup.policy;
    if (setup.servers > 1) {
        options.entries = 8;
        options.choose = [&setup, seed](std::size_t entry) {
            return std::make_unique<home_chooser_policy>(setup.servers, setup.workerSlots, seed * 100 + entry);
        };
    }
    const auto calls = script.build();
    const auto outcomes = simulated_service(options).run(calls);
    for (std::size_t i = 0; i < calls.size(); ++i) {
        // The first 20 s are excluded as a warm-up, until run time estimates and queue lengths are stable.
        if (calls[i].requestClass != 0 || calls[i].arrival < begin + 20s) {
            continue;
        }
        ++requests;
        if (outcomes[i].code == result_code::ok) {
            times.push_back(milliseconds(outcomes[i].finished - calls[i].arrival));
        } else {
            ++refused;
        }
    }
}

double shortRatio(const workload_mix &setup, short_load reference, std::uint64_t seeds, std::uint64_t &requests, std::uint64_t &refused)
{
    std::vector<double> alone;
    std::vector<double> beside;
    std::uint64_t ignored = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        appendShortTimes(setup, reference, seed, alone, ignored, ignored);
        appendShortTimes(setup, short_load::beside_long, seed, beside, requests, refused);
    }
    return percentile99(beside) / percentile99(alone);
}

measurement_row shortRow(short_load reference, std::size_t servers, double spread, std::uint64_t seeds)
{
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t ignored = 0;
    const double ratio = shortRatio({ servers, slots, spread, dispatcherPolicy(slots) }, reference, seeds, requests, refused);
    const double baseline = shortRatio({ servers, slots, spread, firstComePolicy(slots) }, reference, seeds, ignored, ignored);
    const bool strict = reference == short_load::alone;
    measurement_row row;
    row.measure = strict ? "p99 of short requests beside long ones / the same short requests alone"
                         : "p99 of short requests beside long ones / short requests alone at 70 % load";
    row.target = strict ? "<= 1.3" : "-";
    row.value = ratio;
    row.unit = "ratio";
    row.baseline = "first come first served";
    row.baselineValue = baseline;
    row.seeds = seeds;
    row.requests = requests;
    row.conditions = std::to_string(servers) + " server(s) of 3 worker slots, run times +-" + std::to_string(static_cast<int>(spread * 100))
        + " %, short requests refused: " + std::to_string(refused);
    return row;
}

/** Compares the short requests alone on one worker slot, as two long requests leave it, with the same ones on three. */
measurement_row oneSlotRow(double spread, std::uint64_t seeds)
{
    std::vector<double> onThree;
    std::vector<double> onOne;
    std::uint64_t requests = 0;
    std::uint64_t ignored = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        appendShortTimes({ 1, slots, spread, firstComePolicy(slots) }, short_load::alone, seed, onThree, requests, ignored);
        appendShortTimes({ 1, 1, spread, firstComePolicy(1) }, short_load::alone, seed, onOne, ignored, ignored);
    }
    measurement_row row;
    row.measure = "reference: p99 of the short requests alone on one worker slot / on three";
    row.target = "-";
    row.value = percentile99(onOne) / percentile99(onThree);
    row.unit = "ratio";
    row.seeds = seeds;
    row.requests = requests;
    row.conditions = "first come first served, run times +-" + std::to_string(static_cast<int>(spread * 100)) + " %";
    return row;
}

std::vector<measurement_row> shortBesideLong(std::uint64_t seeds)
{
    std::vector<measurement_row> rows;
    for (const double spread : { 0.2, 0.9 }) {
        for (const short_load reference : { short_load::alone, short_load::alone_at_full_load }) {
            rows.push_back(shortRow(reference, 1, spread, seeds));
            rows.push_back(shortRow(reference, 6, spread, seeds));
        }
        rows.push_back(oneSlotRow(spread, seeds));
    }
    return rows;
}

// Overload: three times the capacity for 10 s.

const monotonic_time peakBegin = begin + 20s;
const monotonic_time peakEnd = peakBegin + 10s;
constexpr time_span windowSize = 200ms;

struct overload_result {
    double goodput = 0;
    double sendsPerRequest = 0;
    /** Times to a refusal in the peak, in milliseconds. */
    std::vector<double> refusals;
    /** Sojourn times before the peak, in milliseconds. */
    std::vector<double> normal;
    /** Sojourn times in milliseconds, by the window of the arrival after the peak. */
    std::vector<std::vector<double>> after = std::vector<std::vector<double>>(50);
    std::uint64_t requests = 0;
};

void runOverload(const policy_factory &policy, time_span relativeDeadline, double spread, std::uint64_t seed, overload_result &result)
{
    arrival_script script(seed);
    script.add({ begin, peakBegin, 0.7 * capacity, shortRunTime, spread, relativeDeadline, 0, 0 });
    script.add({ peakBegin, peakEnd, 3 * capacity, shortRunTime, spread, relativeDeadline, 0, 0 });
    script.add({ peakEnd, peakEnd + 10s, 0.7 * capacity, shortRunTime, spread, relativeDeadline, 0, 0 });
    service_options options;
    options.dispatch = policy;
    const auto calls = script.build();
    simulated_service service(options);
    const auto outcomes = service.run(calls);
    result.requests += calls.size();
    result.sendsPerRequest += static_cast<double>(service.sends()) / static_cast<double>(calls.size());
    double good = 0;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const request_outcome &outcome = outcomes[i];
        const time_span took = outcome.finished - calls[i].arrival;
        const bool answered = outcome.code == result_code::ok && took <= relativeDeadline;
        const bool inPeak = calls[i].arrival >= peakBegin && calls[i].arrival < peakEnd;
        if (answered && outcome.finished >= peakBegin && outcome.finished < peakEnd) {
            good += 1;
        }
        if (inPeak && outcomeClass(outcome.code) == request_outcome_class::not_run) {
            result.refusals.push_back(milliseconds(took));
        } else if (calls[i].arrival < peakBegin && calls[i].arrival >= begin + 5s) {
            result.normal.push_back(milliseconds(took));
        } else if (calls[i].arrival >= peakEnd) {
            const auto window = static_cast<std::size_t>((calls[i].arrival - peakEnd) / windowSize);
            result.after[std::min<std::size_t>(window, result.after.size() - 1)].push_back(milliseconds(took));
        }
    }
    result.goodput += good / (capacity * 10);
}

/** Returns the seconds after the peak from which on the p99 of each window is at most 1.5 times the p99 before the peak. */
double recoverySeconds(const overload_result &result)
{
    const double normal = percentile99(result.normal);
    double recovered = 0;
    for (std::size_t i = 0; i + 1 < result.after.size(); ++i) {
        if (percentile99(result.after[i]) > 1.5 * normal) {
            recovered = static_cast<double>(i + 1) * std::chrono::duration<double>(windowSize).count();
        }
    }
    return recovered;
}

std::vector<measurement_row> overload(std::uint64_t seeds)
{
    std::vector<measurement_row> rows;
    struct scenario {
        time_span relativeDeadline;
        double spread;
    };
    for (const auto [relativeDeadline, spread] : { scenario{ 100ms, 0.2 }, scenario{ 1s, 0.2 }, scenario{ 1s, 0.9 }, scenario{ 30s, 0.2 } }) {
        overload_result own;
        overload_result baseline;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            runOverload(dispatcherPolicy(slots), relativeDeadline, spread, seed, own);
            runOverload(firstComePolicy(slots), relativeDeadline, spread, seed, baseline);
        }
        const auto count = static_cast<double>(seeds);
        const std::string conditions = "1 server, 70 % load, 10 s at 3 times the capacity, 70 % load; deadline "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(relativeDeadline).count()) + " ms, run times +-"
            + std::to_string(static_cast<int>(spread * 100)) + " %";
        const std::string first = "first come first served";
        const auto add = [&](const std::string &measure, const std::string &target, double value, const std::string &unit, double baselineValue) {
            rows.push_back({ measure, target, value, unit, first, baselineValue, seeds, own.requests, conditions });
        };
        add("goodput in the peak / capacity", ">= 0.97", own.goodput / count, "ratio", baseline.goodput / count);
        add("time to a refusal in the peak, p99", "<= 10", percentile99(own.refusals), "ms", percentile99(baseline.refusals));
        add("normal p99 again after the peak (1.5 times, windows of 200 ms over all seeds)", "<= 1", recoverySeconds(own), "s", recoverySeconds(baseline));
        add("requests sent per request asked, peak", "<= 1.1", own.sendsPerRequest / count, "ratio", baseline.sendsPerRequest / count);
    }
    return rows;
}

// Lost connections.

double sendsWithLosses(const policy_factory &policy, std::uint64_t seeds, std::uint64_t &requests)
{
    double sends = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        arrival_script script(seed);
        script.add({ begin, begin + 60s, 0.5 * capacity, shortRunTime, 0.2, 1s, 0, 0 });
        service_options options;
        options.dispatch = policy;
        options.connectionLossProbability = 0.3;
        options.seed = seed;
        const auto calls = script.build();
        simulated_service service(options);
        service.run(calls);
        sends += static_cast<double>(service.sends()) / static_cast<double>(calls.size());
        requests += calls.size();
    }
    return sends / static_cast<double>(seeds);
}

std::vector<measurement_row> retries(std::uint64_t seeds)
{
    std::uint64_t requests = 0;
    std::uint64_t ignored = 0;
    const double own = sendsWithLosses(dispatcherPolicy(slots), seeds, requests);
    const double baseline = sendsWithLosses(firstComePolicy(slots), seeds, ignored);
    return { { "requests sent per request asked, 30 % of connections lost",
               "<= 1.1",
               own,
               "ratio",
               "three attempts",
               baseline,
               seeds,
               requests,
               "1 server, 50 % load, 60 s" } };
}

// One customer sends ten times its share.

double answeredShareOfOthers(const policy_factory &policy, std::uint64_t seeds, std::uint64_t &requests)
{
    constexpr std::uint32_t customers = 10;
    constexpr std::uint32_t floodingCustomer = 0;
    double requested = 0;
    double served = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        arrival_script script(seed);
        const double share = 0.9 * capacity / customers;
        for (std::uint32_t customer = 0; customer < customers; ++customer) {
            script.add({ begin, begin + 30s, customer == floodingCustomer ? 10 * share : share, shortRunTime, 0.2, 1s, customer, 0 });
        }
        service_options options;
        options.dispatch = policy;
        const auto calls = script.build();
        const auto outcomes = simulated_service(options).run(calls);
        requests += calls.size();
        for (std::size_t i = 0; i < calls.size(); ++i) {
            if (calls[i].customer != floodingCustomer) {
                requested += 1;
                served += outcomes[i].code == result_code::ok && outcomes[i].finished - calls[i].arrival <= calls[i].relativeDeadline ? 1 : 0;
            }
        }
    }
    return served / requested;
}

std::vector<measurement_row> flood(std::uint64_t seeds)
{
    std::uint64_t requests = 0;
    std::uint64_t ignored = 0;
    const double own = answeredShareOfOthers(dispatcherPolicy(slots), seeds, requests);
    const double baseline = answeredShareOfOthers(firstComePolicy(slots), seeds, ignored);
    return { { "answers in time / requests of the others",
               ">= 0.98",
               own,
               "ratio",
               "first come first served",
               baseline,
               seeds,
               requests,
               "1 server, 10 customers with 9 % of the capacity each, one of them asks 10 times as much, 30 s, deadline 1 s" } };
}

} // namespace

std::map<std::string, measurement> loadMeasurements()
{
    return { { "short_beside_long", shortBesideLong }, { "overload", overload }, { "retries", retries }, { "flood", flood } };
}

} // namespace sycamoretray
