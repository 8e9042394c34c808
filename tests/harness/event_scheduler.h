#pragma once

#include "base/monotonic_time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace sycamoretray::harness
{

/**
 * Discrete-event scheduler. Runs functions in the order of virtual time; functions for the same time run in the order in which
 * they were added.
 *
 * Thread safety: none; the functions run in the thread that calls runUntil().
 */
class event_scheduler
{
public:
    /** True virtual time. Simulated processes read only their own drifting_clock. */
    monotonic_time now() const noexcept;

    /** Schedules @p function to run after @p delay; a negative delay counts as zero. */
    void after(time_span delay, std::function<void()> function);

    /** Runs every function due at or before @p end, then advances the time to @p end. */
    void runUntil(monotonic_time end);

private:
    struct entry {
        monotonic_time time;
        std::uint64_t number = 0;
        std::function<void()> function;
        bool operator<(const entry &other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    monotonic_time m_now{ std::chrono::seconds(1) };
    std::uint64_t m_nextNumber = 0;
    std::priority_queue<entry> m_entries;
};

} // namespace sycamoretray::harness
