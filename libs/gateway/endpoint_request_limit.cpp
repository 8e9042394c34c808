#include "gateway/endpoint_request_limit.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// Responses may arrive in another order than they were sent, so one without a limit counts only if no recent one named a limit.
constexpr time_span reorderingTime = std::chrono::milliseconds(500);
// Parts of the limit by role. Together they stay below the one and a half times the limit that deployments tolerate.
constexpr double firstCoordinatorShare = 0.95;
constexpr double secondCoordinatorShare = 0.4;
constexpr double furtherCoordinatorShare = 0.1;
constexpr double singleInstanceShare = 0.4;
// Requests beyond the first that the first coordinator may grant at once, in seconds of the limit.
constexpr double burstSeconds = 0.15;
// An endpoint with a limit near 0 gets requests as if this were its limit, as only its responses show whether the limit still holds.
constexpr double minLimit = 0.5;
// Without coordination each instance may have saved one request. Deployments tolerate five requests and half of the limit beyond it in
// four seconds; the sum of the saved requests has to stay below.
constexpr double savedRequestsPerLimit = 1.75;
constexpr double savedRequests = 4;

double shareOf(limit_role role)
{
    switch (role) {
    case limit_role::first_coordinator:
        return firstCoordinatorShare;
    case limit_role::second_coordinator:
        return secondCoordinatorShare;
    case limit_role::further_coordinator:
        return furtherCoordinatorShare;
    case limit_role::single_instance:
        break;
    }
    return singleInstanceShare;
}

} // namespace

void endpoint_request_limit::setRole(limit_role role)
{
    m_role = role;
}

void endpoint_request_limit::setInstances(std::uint32_t instances)
{
    m_instances = std::max(1U, instances);
}

void endpoint_request_limit::recordResponse(const std::optional<request_rate> &named, monotonic_time now)
{
    m_respondedAt = now;
    if (named) {
        m_namedAt = now;
        setRate(named, now);
    } else if (m_rate && now - m_namedAt >= reorderingTime) {
        setRate(std::nullopt, now);
    }
}

void endpoint_request_limit::recordKnown(const known_request_limit &known, monotonic_time now)
{
    const monotonic_time namedAt = now - known.age;
    if (namedAt > std::max(m_namedAt, m_respondedAt)) {
        m_namedAt = namedAt;
        setRate(known.rate, now);
    }
}

void endpoint_request_limit::setRate(std::optional<request_rate> rate, monotonic_time now)
{
    // A new limit starts without saved requests, as others may have used it until now.
    m_available = m_rate && savesRequests() ? available(now) : 0;
    m_availableAt = now;
    m_rate = rate;
}

const std::optional<request_rate> &endpoint_request_limit::rate() const noexcept
{
    return m_rate;
}

std::optional<known_request_limit> endpoint_request_limit::known(monotonic_time now) const
{
    return m_rate ? std::optional(known_request_limit{ *m_rate, now - m_namedAt }) : std::nullopt;
}

std::optional<request_rate> endpoint_request_limit::usableRate() const noexcept
{
    if (!m_rate) {
        return std::nullopt;
    }
    const double rate = std::max(minLimit, m_rate->value()) * shareOf(m_role);
    return request_rate(m_role == limit_role::single_instance ? rate / m_instances : rate);
}

double endpoint_request_limit::maxBurst() const noexcept
{
    return m_role == limit_role::first_coordinator ? 1 + m_rate->value() * burstSeconds : 1;
}

bool endpoint_request_limit::savesRequests() const noexcept
{
    return m_role != limit_role::single_instance || m_instances <= savedRequests + m_rate->value() * savedRequestsPerLimit;
}

double endpoint_request_limit::available(monotonic_time now) const noexcept
{
    const double seconds = std::chrono::duration<double>(now - m_availableAt).count();
    return std::min(maxBurst(), m_available + seconds * usableRate()->value());
}

monotonic_time endpoint_request_limit::nextRequestAt() const noexcept
{
    if (!m_rate) {
        return {};
    }
    const std::chrono::duration<double> wait((1 - m_available) / usableRate()->value());
    return m_availableAt + std::chrono::ceil<time_span>(wait);
}

void endpoint_request_limit::recordSent(monotonic_time now)
{
    if (m_rate) {
        // A request that was sent without regard to the limit leaves no debt.
        m_available = std::max(0.0, available(now) - 1);
        m_availableAt = now;
    }
}

} // namespace sycamoretray
