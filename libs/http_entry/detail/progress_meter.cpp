#include "http_entry/detail/progress_meter.h"

#include <chrono>
#include <cmath>
#include <numbers>

namespace sycamoretray::detail
{

namespace
{

double decay(time_span passed)
{
    return std::exp2(-std::chrono::duration<double>(passed).count());
}

} // namespace

void progress_meter::add(std::uint64_t bytes, monotonic_time now) noexcept
{
    m_bytes = m_bytes * decay(now - m_updated) + static_cast<double>(bytes);
    m_updated = now;
}

double progress_meter::bytesPerSecond(monotonic_time now) const noexcept
{
    // With a constant rate, the sum of the decaying bytes is the rate divided by ln 2.
    return m_bytes * decay(now - m_updated) * std::numbers::ln2;
}

} // namespace sycamoretray::detail
