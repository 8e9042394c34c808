#include "gateway/endpoint_request_limit.h"

#include <utility>

namespace sycamoretray
{

namespace
{

// Responses may arrive in another order than they were sent, so one without a limit counts only if no recent one named a limit.
constexpr time_span reorderingTime = std::chrono::milliseconds(500);

} // namespace

bool endpoint_request_limit::recordResponse(const std::optional<request_rate> &named, monotonic_time now)
{
    if (named) {
        m_namedAt = now;
        return std::exchange(m_rate, named) != named;
    }
    if (!m_rate || now - m_namedAt < reorderingTime) {
        return false;
    }
    m_rate.reset();
    return true;
}

const std::optional<request_rate> &endpoint_request_limit::rate() const noexcept
{
    return m_rate;
}

} // namespace sycamoretray
