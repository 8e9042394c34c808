#include "service_monitor.h"

#include <algorithm>
#include <set>

namespace sycamoretray::harness
{

using namespace std::chrono_literals;

service_monitor::service_monitor(simulated_cluster &cluster)
    : m_cluster(cluster)
{
}

slot_set service_monitor::reachableSlots(const instance_host &home, const server_host &server) const
{
    const auto dispatch = home.dispatches().find(server.endpoint.server);
    const bool homeSends = home.alive() && !home.paused() && dispatch != home.dispatches().end() && dispatch->second.validUntil > home.localNow();
    if (!homeSends || !server.process || server.frozen) {
        return {};
    }
    if (!server.endpoint.checksTokens) {
        return ~dispatch->second.held;
    }
    return server.process->holdsLease(m_cluster.scheduler().now()) ? server.process->slots() & ~dispatch->second.held : slot_set();
}

slot_set service_monitor::servedSlots(const instance_host &entry, const std::string &service, const slot_set &wanted, int hops) const
{
    slot_set result;
    const routed_service *routed = entry.table() == nullptr ? nullptr : entry.table()->findService(service_id(service));
    for (const server_route &route : routed == nullptr ? std::vector<server_route>() : routed->servers) {
        const slot_set part = wanted & entry.slotsOf(route.endpoint.server);
        const auto home = std::find_if(m_cluster.hosts().begin(), m_cluster.hosts().end(), [&route](const auto &each) {
            return each->settings().incarnation == route.home;
        });
        if (part.none() || home == m_cluster.hosts().end()) {
            continue;
        }
        const auto server = std::find_if(m_cluster.servers().begin(), m_cluster.servers().end(), [&route](const auto &each) {
            return each.endpoint.server == route.endpoint.server;
        });
        const slot_set direct = part & reachableSlots(**home, *server);
        result |= direct;
        // The routing table of the entry instance may lag by one move; then the old home forwards the request to the new home.
        if (hops > 0 && home->get() != &entry && (*home)->alive() && !(*home)->paused() && direct != part) {
            result |= servedSlots(**home, service, part & ~direct, hops - 1);
        }
    }
    return result;
}

slot_set service_monitor::servedEverywhere(const std::string &service) const
{
    slot_set result;
    bool first = true;
    for (const auto &host : m_cluster.hosts()) {
        if (host->alive() && !host->paused() && host->acceptsCallers()) {
            const slot_set here = servedSlots(*host, service, ~slot_set(), 1);
            result = first ? here : result & here;
            first = false;
        }
    }
    return result;
}

std::vector<std::string> service_monitor::services() const
{
    std::set<std::string> names;
    for (const server_host &server : m_cluster.servers()) {
        names.insert(serviceOf(server.endpoint.server));
    }
    return { names.begin(), names.end() };
}

std::size_t service_monitor::unservedSlots() const
{
    std::size_t unserved = 0;
    for (const std::string &service : services()) {
        unserved += hashSlotCount - servedEverywhere(service).count();
    }
    return unserved;
}

std::uint64_t service_monitor::valueInForce(const instance_host &host)
{
    if (host.table() == nullptr || host.table()->services().empty()) {
        return 0;
    }
    return static_cast<std::uint64_t>(host.table()->services().front().service.limits.leaveLimit / 1ms);
}

} // namespace sycamoretray::harness
