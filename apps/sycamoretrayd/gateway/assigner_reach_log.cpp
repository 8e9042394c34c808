#include "sycamoretrayd/gateway/assigner_reach_log.h"

#include "observability/event_log.h"

#include <iterator>
#include <utility>

namespace sycamoretray
{

namespace
{

std::string milliseconds(time_span span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

endpoint_reach totalOf(const std::map<service_id, endpoint_reach> &services)
{
    endpoint_reach total;
    for (const auto &[service, reach] : services) {
        total.endpoints += reach.endpoints;
        total.unresponsive.insert(total.unresponsive.end(), reach.unresponsive.begin(), reach.unresponsive.end());
        total.lapsedKeys += reach.lapsedKeys;
    }
    return total;
}

} // namespace

void assigner_reach_log::update(const std::map<service_id, endpoint_reach> &services, std::uint64_t epoch, monotonic_time now)
{
    if (services.empty()) {
        *this = {};
        return;
    }
    const endpoint_reach total = totalOf(services);
    const std::set<endpoint_id> unresponsive(total.unresponsive.begin(), total.unresponsive.end());
    logEndpoints(unresponsive, epoch);
    m_unresponsive = unresponsive;
    logTotal(total, epoch, now);
    logLapse(total, epoch, now);
}

void assigner_reach_log::logEndpoints(const std::set<endpoint_id> &unresponsive, std::uint64_t epoch) const
{
    for (const endpoint_id &endpoint : unresponsive) {
        if (!m_unresponsive.contains(endpoint)) {
            logEvent("endpoint_unresponsive", { { "endpoint", endpoint.value() }, { "epoch", std::to_string(epoch) } });
        }
    }
    for (const endpoint_id &endpoint : m_unresponsive) {
        if (!unresponsive.contains(endpoint)) {
            logEvent("endpoint_responsive", { { "endpoint", endpoint.value() }, { "epoch", std::to_string(epoch) } });
        }
    }
}

void assigner_reach_log::logTotal(const endpoint_reach &total, std::uint64_t epoch, monotonic_time now)
{
    if (total.isMostlyUnresponsive() == m_unreachableSince.has_value()) {
        return;
    }
    const std::string lasted = m_unreachableSince ? milliseconds(now - *m_unreachableSince) : "0";
    const event_fields fields{ { "endpoints", std::to_string(total.endpoints) },
                               { "unresponsive", std::to_string(total.unresponsive.size()) },
                               { "lapsed_keys", std::to_string(total.lapsedKeys) },
                               { "lasted_ms", lasted },
                               { "epoch", std::to_string(epoch) } };
    if (m_unreachableSince) {
        m_unreachableSince.reset();
        logEvent("assigner_reaches_endpoints", fields);
    } else {
        m_unreachableSince = now;
        logEvent(event_severity::warning, "assigner_reaches_few_endpoints", fields);
    }
}

void assigner_reach_log::logLapse(const endpoint_reach &total, std::uint64_t epoch, monotonic_time now)
{
    m_lapsedKeys = total.lapsedKeys;
    if ((total.lapsedKeys > 0) == m_lapsedSince.has_value()) {
        return;
    }
    if (m_lapsedSince) {
        logEvent("keys_held_again", { { "lasted_ms", milliseconds(now - *m_lapsedSince) }, { "epoch", std::to_string(epoch) } });
        m_lapsedSince.reset();
        return;
    }
    m_lapsedSince = now;
    const event_fields fields{ { "keys", std::to_string(total.lapsedKeys) },
                               { "unresponsive", std::to_string(total.unresponsive.size()) },
                               { "epoch", std::to_string(epoch) } };
    logEvent(event_severity::warning, "keys_lapsed", fields);
}

std::size_t assigner_reach_log::unresponsiveEndpoints() const noexcept
{
    return m_unresponsive.size();
}

std::uint32_t assigner_reach_log::lapsedKeys() const noexcept
{
    return m_lapsedKeys;
}

} // namespace sycamoretray
