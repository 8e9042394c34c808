#include "sycamoretrayd/gateway/memory_trimmer.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

constexpr std::uint64_t minDropBytes = 2UL * 1024 * 1024;
// Connections end and their last handlers run in this time after their memory was counted as released.
constexpr time_span settleTime = std::chrono::seconds(1);
// Connections to endpoints that the requests needed are closed after this time.
constexpr time_span followUpTime = std::chrono::seconds(12);

} // namespace

bool memory_trimmer::isDue(std::uint64_t highest, monotonic_time now) noexcept
{
    m_highest = std::max(m_highest, highest);
    if (now >= m_followUpAt) {
        m_followUpAt = monotonic_time::max();
        return true;
    }
    if (m_highest - highest < minDropBytes) {
        m_droppedAt = now;
        return false;
    }
    if (now - m_droppedAt < settleTime) {
        return false;
    }
    m_highest = highest;
    m_droppedAt = now;
    m_followUpAt = now + followUpTime;
    return true;
}

} // namespace sycamoretray
