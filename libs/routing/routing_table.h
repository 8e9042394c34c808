#pragma once

#include "base/ids.h"
#include "configuration/effective_service.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamoretray
{

/** Destination of the requests for a server. */
struct server_route {
    endpoint_definition endpoint;
    bool up = false;
    bool draining = false;
    /** Empty if the server has no home. */
    incarnation_id home;
    home_term term;
    /** True if the server has never had another home and was never lost. */
    bool firstHome = false;
};

struct routed_service {
    effective_service service;
    std::vector<server_route> servers;
    /** Index into servers for each hash slot, or noOwner. Empty for services that are not divided by key. */
    std::vector<std::uint16_t> slotOwner;
    /** True if no slot has had an owner yet, so that no request with a key can have run. */
    bool neverAssigned = false;
    /** Index into servers for each key that is an exception: a hot key that is not served by the owner of its slot. */
    std::unordered_map<std::string, std::uint16_t> keyOwner;

    static constexpr std::uint16_t noOwner = 0xffff;
};

/**
 * Services, owners and addresses that a worker needs to route a request. Immutable after construction.
 *
 * Thread safety: const access from any thread.
 */
class routing_table
{
public:
    routing_table() = default;
    routing_table(log_offset position, std::vector<routed_service> services, std::map<incarnation_id, network_address> peers);

    /** Returns the offset up to which (exclusive) the table reflects all records. */
    log_offset position() const noexcept;

    /** Returns the service with the longest path prefix that matches @p path at a segment boundary, or nullptr. */
    const routed_service *findService(std::string_view path) const noexcept;

    /** Returns the service named @p name, or nullptr. */
    const routed_service *findService(const service_id &name) const noexcept;

    /** Returns the route of the owner of @p key, or nullptr if the key has no owner. Precondition: the service is divided by key. */
    static const server_route *findOwner(const routed_service &service, std::string_view key) noexcept;

    const std::vector<routed_service> &services() const noexcept;

    /** Returns the peer address of each running instance. */
    const std::map<incarnation_id, network_address> &peers() const noexcept;

private:
    log_offset m_position;
    std::vector<routed_service> m_services;
    std::map<incarnation_id, network_address> m_peers;
};

} // namespace sycamoretray
