#pragma once

#include "base/ids.h"
#include "http_client/http_connection_pool.h"
#include "observability/metrics.h"

#include <array>
#include <cstdint>
#include <set>

namespace sycamoretray
{

/**
 * Counts what happens to connections to endpoints, for metrics and the event log.
 *
 * Thread safety: none.
 */
class endpoint_connection_log
{
public:
    /** @param metrics  must outlive this object */
    explicit endpoint_connection_log(metrics_registry &metrics);

    void record(const network_address &endpoint, connection_event event);

    /** Logs the counts since the last call if any connection failed. Call it every second. */
    void write();

private:
    static constexpr std::size_t eventCount = 6;

    metrics_registry *m_metrics;
    std::array<std::uint32_t, eventCount> m_counts{};
    std::set<network_address> m_working;
    std::set<network_address> m_failing;
};

} // namespace sycamoretray
