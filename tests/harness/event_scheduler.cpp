#include "event_scheduler.h"

#include <algorithm>

namespace sycamoretray::harness
{

monotonic_time event_scheduler::now() const noexcept
{
    return m_now;
}

void event_scheduler::after(time_span delay, std::function<void()> function)
{
    m_entries.push({ m_now + std::max(delay, time_span(0)), m_nextNumber++, std::move(function) });
}

void event_scheduler::runUntil(monotonic_time end)
{
    while (!m_entries.empty() && m_entries.top().time <= end) {
        const entry next = m_entries.top();
        m_entries.pop();
        m_now = next.time;
        next.function();
    }
    m_now = end;
}

} // namespace sycamoretray::harness
