#pragma once

#include "base/monotonic_time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace sycamoretray
{

/**
 * Learns the run time of each request class and tells short classes from long ones.
 *
 * A class is long if its mean run time is at least 4 times the mean of the fastest class that has 1 % of the traffic or
 * more; it is short again below 3 times. Classes from 256 on share one estimate, which bounds the memory.
 *
 * Thread safety: none.
 */
class run_time_table
{
public:
    run_time_table();
    ~run_time_table();
    run_time_table(run_time_table &&) noexcept;
    run_time_table &operator=(run_time_table &&) noexcept;

    /** Adds a measured run time. */
    void learn(std::uint32_t requestClass, time_span runTime);

    /** Mean run time of the class; that of all classes if the class is not learnt yet; 1 ms if nothing is. */
    time_span expected(std::uint32_t requestClass) const noexcept;

    /** Mean plus two standard deviations, used where exceeding the estimate would waste a run. */
    time_span cautious(std::uint32_t requestClass) const noexcept;

    /** True once the class has an estimate of its own. */
    bool learnt(std::uint32_t requestClass) const noexcept;

    bool isLong(std::uint32_t requestClass) const noexcept;

    /** Run time from which on a running request counts as long work whatever its class; the maximum while unknown. */
    time_span longThreshold() const noexcept;

    /** Largest expected run time among the short (or long) classes. */
    time_span largestExpected(bool longClasses) const noexcept;

private:
    struct class_estimate;

    const class_estimate *find(std::uint32_t requestClass) const noexcept;
    void classify();

    std::vector<std::unique_ptr<class_estimate>> m_classes;
    std::uint32_t m_samples = 0;
    time_span m_overall{};
    time_span m_reference{};
    time_span m_largestShort;
    time_span m_largestLong;
};

} // namespace sycamoretray
