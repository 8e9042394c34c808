#include "dispatch/worker_slots.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

bool countsAsLong(const pending_request &request, monotonic_time now, time_span longThreshold) noexcept
{
    return request.isLong || now - request.sentAt >= longThreshold;
}

std::uint32_t slotsForLong(std::uint32_t total) noexcept
{
    return total > 1 ? total - 1 : 1;
}

} // namespace

worker_slots::worker_slots(std::uint32_t total) noexcept
    : m_total(std::max(1U, total))
{
}

worker_slots::~worker_slots()
{
    m_running.clear();
}

void worker_slots::occupy(pending_request &request, monotonic_time now)
{
    request.state = pending_state::running;
    request.sentAt = now;
    m_running.push_back(request);
    ++m_count;
}

void worker_slots::vacate(pending_request &request)
{
    m_running.erase(m_running.iterator_to(request));
    --m_count;
}

void worker_slots::restartSlowStart() noexcept
{
    m_limit = 1;
}

void worker_slots::addSlotAfterAnswer() noexcept
{
    m_limit = std::min(m_total, m_limit + 1);
}

bool worker_slots::hasFreeSlot() const noexcept
{
    return m_count < m_limit;
}

std::uint32_t worker_slots::longRunning(monotonic_time now, time_span longThreshold) const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(m_running.begin(), m_running.end(), [&](const pending_request &each) {
        return countsAsLong(each, now, longThreshold);
    }));
}

bool worker_slots::longAllowed(monotonic_time now, time_span longThreshold) const noexcept
{
    return longRunning(now, longThreshold) < slotsForLong(m_total);
}

bool worker_slots::runsAlone() const noexcept
{
    return m_count == 1 && m_running.front().runsAlone;
}

time_span worker_slots::timeUntilFree(bool isLong, monotonic_time now, time_span longThreshold) const noexcept
{
    const bool longBlocked = isLong && !longAllowed(now, longThreshold);
    if (m_count < m_total && !longBlocked) {
        return time_span(0);
    }
    time_span soonest = time_span::max();
    for (const pending_request &each : m_running) {
        if (!longBlocked || countsAsLong(each, now, longThreshold)) {
            soonest = std::min(soonest, std::max(time_span(0), each.cost - (now - each.sentAt)));
        }
    }
    return soonest;
}

std::uint32_t worker_slots::usableSlots(bool isLong, monotonic_time now, time_span longThreshold) const noexcept
{
    if (isLong) {
        return slotsForLong(m_total);
    }
    const std::uint32_t busy = longRunning(now, longThreshold);
    return busy < m_total ? m_total - busy : 1;
}

} // namespace sycamoretray
