#pragma once

#include "base/monotonic_time.h"

namespace sycamoretray::harness
{

/** Simulated monotonic clock of one process or machine, with its own offset and rate relative to true time. Thread safety: const access from any thread. */
class drifting_clock
{
public:
    drifting_clock() = default;
    drifting_clock(double rate, time_span offset)
        : m_rate(rate)
        , m_offset(offset)
    {
    }

    monotonic_time local(monotonic_time trueTime) const
    {
        return monotonic_time(m_offset + std::chrono::duration_cast<time_span>(trueTime.time_since_epoch() * m_rate));
    }

    monotonic_time trueTime(monotonic_time local) const
    {
        return monotonic_time(std::chrono::duration_cast<time_span>((local.time_since_epoch() - m_offset) / m_rate));
    }

    /** Converts a duration measured by this clock to true time. */
    time_span trueSpan(time_span local) const
    {
        return std::chrono::duration_cast<time_span>(local / m_rate);
    }

private:
    double m_rate = 1;
    time_span m_offset{};
};

} // namespace sycamoretray::harness
