#include "gateway/detail/gateway_state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

namespace sycamoretray::detail
{

gateway_state::gateway_state(gateway_settings givenSettings, endpoint_port &givenPort, gateway_log givenLog)
    : settings(std::move(givenSettings))
    , port(givenPort)
    , log(std::move(givenLog))
    , lastPermit(settings.firstPermit)
    , splits(std::hash<std::string>{}(settings.instance.value()))
{
}

retry_allowance &gateway_state::allowance(const service_id &service)
{
    const auto [position, inserted] = allowances.try_emplace(service, settings.retries);
    if (inserted && instances > 0) {
        position->second.setInstances(instances);
    }
    return position->second;
}

void gateway_state::setInstances(std::uint32_t count)
{
    instances = count;
    for (auto &[service, each] : allowances) {
        each.setInstances(count);
    }
}

gate_entry *gateway_state::gateOf(const endpoint_life &life)
{
    const auto found = gates.find(life);
    return found == gates.end() ? nullptr : &found->second;
}

std::vector<gate_entry *> gateway_state::gatesOf(const pool_key &pool)
{
    std::vector<gate_entry *> result;
    if (pool.endpoint) {
        if (gate_entry *gate = gateOf(*pool.endpoint)) {
            result.push_back(gate);
        }
        return result;
    }
    for (const endpoint_life &life : gatesOfService[pool.service]) {
        result.push_back(gateOf(life));
    }
    return result;
}

void gateway_state::updateGates(const std::map<endpoint_id, listed_endpoint> &endpoints)
{
    for (auto &[life, gate] : gates) {
        gate.gate.unlist();
    }
    std::map<service_id, std::vector<listed_endpoint>> services;
    for (const auto &[id, endpoint] : endpoints) {
        const endpoint_life &life = endpoint.entry.life;
        const auto [position, inserted] = gates.try_emplace(life, endpoint);
        position->second.gate.update(endpoint);
        position->second.stateSince = endpoint.stateSince;
        services[endpoint.entry.service].push_back(endpoint);
    }
    gatesOfService.clear();
    for (const auto &[service, members] : services) {
        for (const listed_endpoint &endpoint : usableForNewWork(members)) {
            gatesOfService[service].push_back(endpoint.entry.life);
        }
    }
    orderZones();
    forgetUnlisted();
}

void gateway_state::orderZones()
{
    zonesOfService.clear();
    for (const auto &[service, lives] : gatesOfService) {
        std::set<availability_zone> others;
        bool own = false;
        for (const endpoint_life &life : lives) {
            const endpoint_entry &entry = gates.at(life).gate.entry();
            if (!entry.draining) {
                own = own || entry.zone == settings.zone;
                others.insert(entry.zone);
            }
        }
        others.erase(settings.zone);
        std::vector<availability_zone> zones(others.begin(), others.end());
        if (!zones.empty()) {
            const std::size_t first = std::hash<std::string>{}(settings.instance.value()) % zones.size();
            std::rotate(zones.begin(), zones.begin() + static_cast<std::ptrdiff_t>(first), zones.end());
        }
        if (own) {
            zones.insert(zones.begin(), settings.zone);
        }
        zonesOfService[service] = std::move(zones);
    }
}

void gateway_state::forgetUnlisted()
{
    std::erase_if(gates, [](const auto &item) {
        return !item.second.gate.isListed() && item.second.gate.inFlight() == 0;
    });
}

bool gateway_state::mayUse(const gate_entry &gate, monotonic_time now) const
{
    return gate.gate.isListed() && (!gate.gate.entry().draining || now - gate.stateSince < settings.drainTime);
}

void gateway_state::unqueue(waiting_request &request)
{
    parked.erase(request.id);
    if (request.state == request_state::queued && request.pool) {
        const auto queue = pools.find(*request.pool);
        if (queue != pools.end()) {
            queue->second.erase(queue_position(request));
        }
    }
    request.pool.reset();
    request.state = request_state::parked;
}

void gateway_state::remove(waiting_request &request)
{
    unqueue(request);
    requests.erase(request.id);
}

void gateway_state::wakeAt(const waiting_request &request, monotonic_time time)
{
    timers.emplace(time, timer{ request.id, std::nullopt });
}

void gateway_state::wakePool(const pool_key &pool, monotonic_time now)
{
    if (poolTimers.contains(pool)) {
        return;
    }
    monotonic_time first = monotonic_time::max();
    for (const gate_entry *gate : gatesOf(pool)) {
        if (gate->gate.blockedUntil() > now) {
            first = std::min(first, gate->gate.blockedUntil());
        }
    }
    if (first != monotonic_time::max()) {
        poolTimers.insert(pool);
        timers.emplace(first, timer{ {}, pool });
    }
}

std::string gateway_state::dump(monotonic_time now) const
{
    nlohmann::json endpoints = nlohmann::json::array();
    for (const auto &[life, gate] : gates) {
        endpoints.push_back({ { "endpoint", life.endpoint.value() },
                              { "service", gate.gate.entry().service.value() },
                              { "zone", gate.gate.entry().zone.value() },
                              { "draining", gate.gate.entry().draining },
                              { "listed", gate.gate.isListed() },
                              { "in_flight", gate.gate.inFlight() },
                              { "load", gate.gate.estimatedLoad(now) },
                              { "slowness", gate.gate.slowness() } });
    }
    const nlohmann::json document = { { "config_version", routes ? nlohmann::json(routes->version()) : nlohmann::json() },
                                      { "unfinished", requests.size() },
                                      { "parked", parked.size() },
                                      { "asking_permits", asking.size() },
                                      { "endpoints", std::move(endpoints) } };
    return document.dump(1);
}

} // namespace sycamoretray::detail
