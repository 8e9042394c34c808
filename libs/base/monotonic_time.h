#pragma once

#include <chrono>

namespace sycamoretray
{

/**
 * Clock type of the decision logic. It has no now(): the time is passed in with each event, from a steady clock in the daemon and
 * from virtual time in tests.
 */
struct monotonic_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by the Clock concept
};

using monotonic_time = monotonic_clock::time_point;
using time_span = monotonic_clock::duration;

/** Wall-clock time in milliseconds since the Unix epoch, used only for request ids that contain a creation time. */
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace sycamoretray
