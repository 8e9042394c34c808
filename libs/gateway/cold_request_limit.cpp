#include "gateway/cold_request_limit.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// Deployments count the requests to a cold endpoint in each second.
constexpr time_span countedTime = std::chrono::seconds(1);
// Requests beyond the usable rate that may be sent in a second. The roles of coordinators use 1.45 times the rate and at most seven such
// requests, four of them the saved ones of the first coordinator.
constexpr double requestsBeyondRate = 1;
constexpr double savedSeconds = 0.15;
constexpr double maxSavedRequests = 4;
// Instances without a coordinator do not know of each other's requests. If there are more of them, their first requests alone could be too
// many, and none sends any.
constexpr std::uint32_t maxSingleInstances = 4;

} // namespace

void cold_request_limit::setRole(limit_role role)
{
    m_role = role;
    if (m_pace) {
        m_pace->setRole(role);
    }
}

void cold_request_limit::setInstances(std::uint32_t instances)
{
    m_instances = std::max(1U, instances);
    if (m_pace) {
        m_pace->setInstances(m_instances);
    }
}

void cold_request_limit::setSoleSender(bool soleSender)
{
    m_soleSender = soleSender;
}

void cold_request_limit::update(std::optional<request_rate> rate, monotonic_time coldUntil, bool sinceStart, monotonic_time now)
{
    const bool wasLimited = applies(now);
    const bool neverWarm = sinceStart && !m_knownSince;
    const bool allSeen = m_soleSender && m_knownSince && now - *m_knownSince >= countedTime;
    m_knownSince = m_knownSince.value_or(now);
    m_until = coldUntil;
    if (!rate || now >= coldUntil) {
        m_pace.reset();
        return;
    }
    if (!wasLimited) {
        m_pace.emplace();
        m_pace->setRole(m_role);
        m_pace->setInstances(m_instances);
        m_heldUntil = allSeen || neverWarm ? now : now + countedTime;
    }
    if (m_pace->rate() != rate) {
        m_pace->recordResponse(rate, now);
    }
}

bool cold_request_limit::applies(monotonic_time now) const noexcept
{
    return m_pace && now < m_until;
}

std::optional<request_rate> cold_request_limit::usableRate(monotonic_time now) const noexcept
{
    return applies(now) ? m_pace->usableRate() : std::nullopt;
}

std::size_t cold_request_limit::maxInSecond() const noexcept
{
    const double saved = m_role == limit_role::first_coordinator ? std::min(maxSavedRequests, m_pace->rate()->value() * savedSeconds) : 0;
    return static_cast<std::size_t>(m_pace->usableRate()->value() + requestsBeyondRate + saved);
}

monotonic_time cold_request_limit::nextRequestAt() const noexcept
{
    if (!m_pace) {
        return {};
    }
    if (m_role == limit_role::single_instance && m_instances > maxSingleInstances) {
        return m_until;
    }
    const std::size_t most = maxInSecond();
    const monotonic_time notTooMany = m_sent.size() < most ? monotonic_time{} : m_sent[m_sent.size() - most] + countedTime;
    return std::min(m_until, std::max({ m_heldUntil, m_pace->nextRequestAt(), notTooMany }));
}

void cold_request_limit::recordSent(monotonic_time now)
{
    if (m_pace) {
        m_pace->recordSent(now);
    }
    m_sent.push_back(now);
    while (m_sent.front() <= now - countedTime) {
        m_sent.pop_front();
    }
}

} // namespace sycamoretray
