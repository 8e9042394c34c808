#pragma once

#include "dispatch/pending_request.h"

#include <cstdint>

namespace sycamoretray
{

/**
 * Worker slots of the server and the requests that occupy them.
 *
 * Slow start: a server that may have just started gets one slot, and each answer within about the expected run time adds
 * one. Thread safety: none.
 */
class worker_slots
{
public:
    explicit worker_slots(std::uint32_t total) noexcept;
    ~worker_slots();

    void occupy(pending_request &request, monotonic_time now);
    void vacate(pending_request &request);

    /** Limits the server to one slot again, because it may have been restarted. */
    void restartSlowStart() noexcept;

    /** Adds a slot, up to the total, after an answer within about the expected run time. */
    void addSlotAfterAnswer() noexcept;

    bool hasFreeSlot() const noexcept;

    /** True if another long request may start; of several slots, one is reserved for short requests. */
    bool longAllowed(monotonic_time now, time_span longThreshold) const noexcept;

    /** True while a suspected request runs, during which no other is started. */
    bool runsAlone() const noexcept;

    /** Expected time until a slot is free for a short (or long) request; 0 if one is free. */
    time_span timeUntilFree(bool isLong, monotonic_time now, time_span longThreshold) const noexcept;

    /** Slots available to short (or long) requests, at least 1. Ignores the slow start, which is brief. */
    std::uint32_t usableSlots(bool isLong, monotonic_time now, time_span longThreshold) const noexcept;

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
