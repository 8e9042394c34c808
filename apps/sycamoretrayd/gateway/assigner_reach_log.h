#pragma once

#include "base/monotonic_time.h"
#include "key_ownership/endpoint_reach.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace sycamoretray
{

/**
 * Logs when endpoints stop and start to answer the orders of this instance as the assigner, when it reaches less than half of them, and when
 * grants lapse.
 *
 * Thread safety: none.
 */
class assigner_reach_log
{
public:
    /** Logs the changes since the last call. @param services  reach by service; empty if this instance is not the assigner */
    void update(const std::map<service_id, endpoint_reach> &services, std::uint64_t epoch, monotonic_time now);

    std::size_t unresponsiveEndpoints() const noexcept;
    std::uint32_t lapsedKeys() const noexcept;

private:
    void logEndpoints(const std::set<endpoint_id> &unresponsive, std::uint64_t epoch) const;
    void logTotal(const endpoint_reach &total, std::uint64_t epoch, monotonic_time now);
    void logLapse(const endpoint_reach &total, std::uint64_t epoch, monotonic_time now);

    std::set<endpoint_id> m_unresponsive;
    std::uint32_t m_lapsedKeys = 0;
    /** When most endpoints were first found unresponsive, until most answer again. */
    std::optional<monotonic_time> m_unreachableSince;
    std::optional<monotonic_time> m_lapsedSince;
};

} // namespace sycamoretray
