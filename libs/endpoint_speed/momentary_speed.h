#pragma once

#include "base/monotonic_time.h"

#include <cstdint>
#include <deque>

namespace sycamoretray
{

/**
 * How long work takes on an endpoint's machine at this moment, as the endpoint reports it with its responses.
 *
 * The speed changes many times a second, so a report loses its weight within the duration of a slow interval.
 *
 * Thread safety: none.
 */
class momentary_speed
{
public:
    /**
     * Records a report. Precondition: @p now is not before that of earlier calls.
     *
     * @param runTimePercent  run time in percent of the usual one; extreme values are limited
     */
    void record(std::uint32_t runTimePercent, monotonic_time now);

    /** Ratio of the run time to the usual one: the last report, whose weight falls linearly to zero. 1 without a report. */
    double slowness(monotonic_time now) const noexcept;

    /**
     * Mean ratio of the run time to the usual one for work that ran all the time from @p from to @p to, by the reports of that time.
     * Precondition: @p to is not before @p from.
     */
    double slownessDuring(monotonic_time from, monotonic_time to) const noexcept;

private:
    struct report {
        monotonic_time at{};
        double slowness = 1;
    };
    /** Reports of the last seconds, oldest first. */
    std::deque<report> m_reports;
};

} // namespace sycamoretray
