#pragma once

#include "base/monotonic_time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace sycamoretray
{

/**
 * Estimates the run time of each request class from measurements and divides the classes into short and long ones.
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
    void addSample(std::uint32_t requestClass, time_span runTime);

    /** Mean run time of the class; the mean of all classes if it has no sample yet; 1 ms if no class has one. */
    time_span expected(std::uint32_t requestClass) const noexcept;

    /** Mean plus two standard deviations, used where exceeding the estimate would waste a run; 0 before hasEstimate(). */
    time_span upperEstimate(std::uint32_t requestClass) const noexcept;

    /** True once the class has enough samples for an estimate of its own. */
    bool hasEstimate(std::uint32_t requestClass) const noexcept;

    bool isLong(std::uint32_t requestClass) const noexcept;

    /** Run time from which on a running request counts as long, whatever its class; time_span::max() while unknown. */
    time_span longThreshold() const noexcept;

    /** Largest expected run time among the short (or long) classes. */
    time_span largestExpected(bool longClasses) const noexcept;

private:
    struct class_estimate;

    const class_estimate *find(std::uint32_t requestClass) const noexcept;
    void classify();

    std::vector<std::unique_ptr<class_estimate>> m_classes;
    std::uint32_t m_samples = 0;
    time_span m_overallMean{};
    time_span m_referenceMean{};
    time_span m_largestShort;
    time_span m_largestLong;
};

} // namespace sycamoretray
