#include "sycamoretrayd/gateway/endpoint_connection_log.h"

#include "observability/event_log.h"

#include <string>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr std::array<const char *, 6> eventNames{ "opened", "refused", "connect_timed_out", "answered", "unanswered", "lost" };

} // namespace

endpoint_connection_log::endpoint_connection_log(metrics_registry &metrics)
    : m_metrics(&metrics)
{
    static_assert(eventNames.size() == eventCount);
}

void endpoint_connection_log::record(const network_address &endpoint, connection_event event)
{
    const auto index = static_cast<std::size_t>(event);
    ++m_counts[index];
    m_metrics->counter("sycamoretray_endpoint_connections_total{event=\"" + std::string(eventNames[index]) + "\"}").add();
    const bool works = event == connection_event::opened || event == connection_event::answered;
    (works ? m_working : m_failing).insert(endpoint);
}

void endpoint_connection_log::write()
{
    if (!m_failing.empty()) {
        event_fields fields{ { "endpoints_working", std::to_string(m_working.size()) }, { "endpoints_failing", std::to_string(m_failing.size()) } };
        for (std::size_t i = 0; i < eventCount; ++i) {
            fields.emplace_back(eventNames[i], std::to_string(m_counts[i]));
        }
        logEvent("endpoint_connections", fields);
    }
    m_counts.fill(0);
    m_working.clear();
    m_failing.clear();
}

} // namespace sycamoretray
