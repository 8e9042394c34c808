#include "sycamoretrayd/gateway/resource_metrics.h"

#include "base/monotonic_time.h"
#include "observability/event_log.h"

#include <chrono>
#include <string>

namespace sycamoretray
{

namespace
{

void logDecision(const resource_decision &decision, const std::string &event)
{
    const auto inState = std::chrono::duration_cast<std::chrono::milliseconds>(time_span(decision.holder.since));
    logEvent(event_severity::warning,
             "resource_decision",
             { { "event", event },
               { "listener", std::string(decision.listener) },
               { "caller", decision.caller },
               { "holds", std::to_string(decision.holder.bytes) },
               { "progress_per_s", std::to_string(decision.holder.progress) },
               { "state_ms", std::to_string(inState.count()) },
               { "used", std::to_string(decision.usedBytes) },
               { "connections", std::to_string(decision.connections) } });
}

} // namespace

void reportResources(resource_budget &budget, metrics_registry &metrics)
{
    metrics.gauge("sycamoretray_held_bytes", [&budget] {
        return static_cast<double>(budget.used());
    });
    metrics.gauge("sycamoretray_held_connections", [&budget] {
        return static_cast<double>(budget.connections());
    });
    budget.setObserver([&metrics](const resource_decision &decision) {
        const std::string event(toString(decision.event));
        metrics.counter("sycamoretray_resource_events_total{event=\"" + event + "\",listener=\"" + std::string(decision.listener) + "\"}").add();
        logDecision(decision, event);
    });
}

} // namespace sycamoretray
