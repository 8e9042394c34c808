#include "control_state/routing_builder.h"

namespace sycamoretray
{

namespace
{

server_route routeOf(const server_id &id, const server_state &server)
{
    server_route route;
    route.endpoint = server.endpoint;
    route.endpoint.server = id;
    route.up = server.up;
    route.draining = server.draining || server.removed;
    route.home = server.home;
    route.term = server.term;
    route.firstHome = server.previousTerm.value() == 0 && !server.wasLost;
    return route;
}

void addOwners(routed_service &out, const control_state &state, const slot_table &table)
{
    // The table's order includes removed servers that still own slots.
    for (const server_id &id : table.servers()) {
        out.servers.push_back(routeOf(id, state.servers().at(id)));
    }
    out.slotOwner = table.owners();
    out.neverAssigned = table.neverAssigned();
    for (const auto &[key, exception] : table.exceptions()) {
        out.keyOwner.emplace(key, table.indexOf(exception.server));
    }
}

} // namespace

std::shared_ptr<const routing_table> buildRoutingTable(const control_state &state)
{
    static_assert(noServer == routed_service::noOwner);
    std::vector<routed_service> services;
    for (const effective_service &service : state.configuration().services()) {
        routed_service routed;
        routed.service = service;
        const slot_table *table = service.dividedByKey ? state.findTable(service.name) : nullptr;
        if (table != nullptr) {
            addOwners(routed, state, *table);
        } else {
            for (const endpoint_definition &endpoint : service.endpoints) {
                routed.servers.push_back(routeOf(endpoint.server, state.servers().at(endpoint.server)));
            }
        }
        services.push_back(std::move(routed));
    }
    std::map<incarnation_id, network_address> peers;
    for (const auto &[incarnation, instance] : state.instances()) {
        if (!instance.hasLeft()) {
            peers.emplace(incarnation, instance.peerAddress);
        }
    }
    return std::make_shared<routing_table>(state.position(), std::move(services), std::move(peers));
}

} // namespace sycamoretray
