#pragma once

#include "simulated_cluster.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sycamoretray::harness
{

/**
 * Runs simulated clusters in virtual time and collects samples of each measure over all seeds.
 *
 * Thread safety: none.
 */
class ownership_measures
{
public:
    /** Runs every scenario with @p seed. Throws std::runtime_error if a cluster does not start. */
    void run(std::uint64_t seed);

    /** Samples of a measure in its unit; empty if there are none. */
    const std::vector<double> &samples(const std::string &measure) const;

    /** Returns the @p quantile, from 0 to 1, of the samples of @p measure. Precondition: there are samples. */
    double quantile(const std::string &measure, double quantile) const;
    double maximum(const std::string &measure) const;

private:
    void add(const std::string &measure, double value);
    void measureLosses(std::uint64_t seed, bool logOut);
    void measurePlannedChanges(std::uint64_t seed);
    void measureChurn(std::uint64_t seed);
    void measureAppends(std::uint64_t seed);
    void measureConfiguration(std::uint64_t seed);
    /** Adds 1 if the checker found a violation in the run, else 0, and prints the violations. */
    void addViolations(simulated_cluster &cluster);
    /** Runs until every slot has been served for 1.5 s, for at most @p limit, and adds the unserved time of each affected slot, in ms. */
    void addUnservedTimes(simulated_cluster &cluster, const std::string &measure, time_span step, time_span limit);
    /** Runs for @p duration and returns the number of owner changes, summed over all slots. */
    static std::size_t movedSlots(simulated_cluster &cluster, time_span duration);
    /** Runs for @p duration and returns the highest number of appends in a second. */
    static double peakAppendRate(simulated_cluster &cluster, time_span duration);

    std::map<std::string, std::vector<double>> m_samples;
};

} // namespace sycamoretray::harness
