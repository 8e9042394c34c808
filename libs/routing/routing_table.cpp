#include "routing/routing_table.h"

#include "routing/hash_slots.h"

namespace sycamoretray
{

namespace
{

bool matchesPrefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace

routing_table::routing_table(log_offset position, std::vector<routed_service> services, std::map<incarnation_id, network_address> peers)
    : m_position(position)
    , m_services(std::move(services))
    , m_peers(std::move(peers))
{
}

log_offset routing_table::position() const noexcept
{
    return m_position;
}

const routed_service *routing_table::findService(std::string_view path) const noexcept
{
    const routed_service *best = nullptr;
    for (const routed_service &candidate : m_services) {
        const std::string &prefix = candidate.service.pathPrefix;
        if (matchesPrefix(path, prefix) && (best == nullptr || prefix.size() > best->service.pathPrefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

const routed_service *routing_table::findService(const service_id &name) const noexcept
{
    for (const routed_service &candidate : m_services) {
        if (candidate.service.name == name) {
            return &candidate;
        }
    }
    return nullptr;
}

const server_route *routing_table::findOwner(const routed_service &service, std::string_view key) noexcept
{
    std::uint16_t index = routed_service::noOwner;
    if (!service.keyOwner.empty()) {
        const auto exception = service.keyOwner.find(std::string(key));
        if (exception != service.keyOwner.end()) {
            index = exception->second;
        }
    }
    if (index == routed_service::noOwner && !service.slotOwner.empty()) {
        index = service.slotOwner[slotOfKey(key).value()];
    }
    return index == routed_service::noOwner ? nullptr : &service.servers[index];
}

const std::vector<routed_service> &routing_table::services() const noexcept
{
    return m_services;
}

const std::map<incarnation_id, network_address> &routing_table::peers() const noexcept
{
    return m_peers;
}

} // namespace sycamoretray
