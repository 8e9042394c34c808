#include "sycamoretrayd/gateway/upstream_relay.h"

namespace sycamoretray
{

std::optional<network_address> upstreamRelay(const ownership_view &ownership, const coordinator_candidates &instances, const network_address &self)
{
    if (!isLargeSite(instances)) {
        return std::nullopt;
    }
    const ownership_record *newest = nullptr;
    for (const auto &[service, record] : ownership.records()) {
        if (!record.resigned && !record.stopped && (newest == nullptr || record.epoch > newest->epoch)) {
            newest = &record;
        }
    }
    return newest == nullptr || newest->assigner == self ? std::nullopt : std::optional(newest->assigner);
}

} // namespace sycamoretray
