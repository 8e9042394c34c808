#pragma once

#include "dispatch/pending_request.h"

#include <cstdint>

namespace sycamoretray
{

/**
 * Worker slots of the server and the requests that occupy them.
 *
 * A cold server is given one slot; each answer at the learnt run time adds one. Thread safety: none.
 */
class worker_slots
{
public:
    explicit worker_slots(std::uint32_t total) noexcept;
    ~worker_slots();

    void occupy(pending_request &request, monotonic_time now);
    void vacate(pending_request &request);

    /** The server may have been restarted: it starts again with one slot. */
    void becomeCold() noexcept;

    /** An answer came at the learnt run time. */
    void warmUp() noexcept;

    bool hasFree() const noexcept;

    /** Whether another long request may start, so that at least one slot stays for short ones. */
    bool longAllowed(monotonic_time now, time_span longThreshold) const noexcept;

    /** True while a suspect runs, beside which nothing is started. */
    bool runsAlone() const noexcept;

    /** Expected time until a slot is free for a short (or long) request; 0 if one is free. */
    time_span untilFree(bool isLong, monotonic_time now, time_span longThreshold) const noexcept;

    /** Slots that a short (or long) request can expect to use, at least 1. Does not count the slow start, which is brief. */
    std::uint32_t usable(bool isLong, monotonic_time now, time_span longThreshold) const noexcept;

    std::uint32_t runningCount() const noexcept
    {
        return m_count;
    }
    std::uint32_t limit() const noexcept
    {
        return m_limit;
    }
    std::uint32_t total() const noexcept
    {
        return m_total;
    }
    const pending_list &running() const noexcept
    {
        return m_running;
    }

private:
    std::uint32_t longRunning(monotonic_time now, time_span longThreshold) const noexcept;

    std::uint32_t m_total;
    std::uint32_t m_limit = 1;
    std::uint32_t m_count = 0;
    pending_list m_running;
};

} // namespace sycamoretray
