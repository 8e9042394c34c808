#include "permits/permit_coordinator.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sycamoretray
{

permit_pool_name::permit_pool_name(const permit_request &request)
    : owner(request.owner)
    , service(request.service)
    , zone(request.owner ? availability_zone() : request.zone)
{
}

std::string permit_pool_name::text() const
{
    return owner ? "endpoint/" + owner->endpoint.value() : "service/" + service.value() + "/" + zone.value();
}

bool operator<(const permit_pool_name &left, const permit_pool_name &right) noexcept
{
    return std::tie(left.owner, left.service, left.zone) < std::tie(right.owner, right.service, right.zone);
}

permit_coordinator::permit_coordinator(permit_port &port, permit_log log)
    : m_port(port)
    , m_log(std::move(log))
{
}

void permit_coordinator::setPromiseObserver(std::function<void(promise_outcome)> observer)
{
    m_promiseObserver = std::move(observer);
}

void permit_coordinator::setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints, monotonic_time now)
{
    m_endpoints = endpoints;
    std::vector<permit_pool_name> names;
    for (auto &[name, pool] : m_pools) {
        updateEndpoints(name, pool, now);
        if (!name.owner && !pool.hasEndpoints()) {
            redirectWaiting(pool, false);
        }
        names.push_back(name);
    }
    for (const permit_pool_name &name : names) {
        decide(name, now);
    }
    removeExpired();
}

void permit_coordinator::setServices(const std::map<service_id, service_definition> &services, monotonic_time now)
{
    m_services = services;
    for (auto &[name, pool] : m_pools) {
        limitWhileCold(name, pool, now);
    }
}

void permit_coordinator::setLargeSite(bool large, monotonic_time now)
{
    m_largeSite = large;
    for (auto &[name, pool] : m_pools) {
        limitWhileCold(name, pool, now);
    }
}

void permit_coordinator::removeExpired()
{
    std::erase_if(m_holders, [&](const auto &item) {
        return !m_pools.at(item.second).knows(item.first);
    });
    std::erase_if(m_pools, [](const auto &item) {
        return item.second.isIdle() && !item.second.hasEndpoints();
    });
}

void permit_coordinator::updateEndpoints(const permit_pool_name &name, permit_pool &pool, monotonic_time now) const
{
    std::vector<listed_endpoint> members;
    for (const auto &[id, endpoint] : m_endpoints) {
        const bool member = name.owner ? endpoint.entry.incarnation == *name.owner : endpoint.entry.service == name.service && endpoint.entry.zone == name.zone;
        if (member) {
            members.push_back(endpoint);
        }
    }
    pool.setEndpoints(name.owner ? members : usableForNewWork(members));
    limitWhileCold(name, pool, now);
}

void permit_coordinator::limitWhileCold(const permit_pool_name &name, permit_pool &pool, monotonic_time now) const
{
    const auto service = m_services.find(name.service);
    pool.limitWhileCold(service == m_services.end() ? std::nullopt : service->second.coldRequestRate, m_largeSite, now);
}

permit_pool *permit_coordinator::findOrCreatePool(const permit_pool_name &name, monotonic_time now)
{
    auto found = m_pools.find(name);
    if (found == m_pools.end()) {
        found = m_pools.try_emplace(name).first;
        found->second.setPromiseObserver(m_promiseObserver);
        updateEndpoints(name, found->second, now);
    }
    return found->second.hasEndpoints() ? &found->second : nullptr;
}

void permit_coordinator::received(const network_address &from, const permit_message &message, monotonic_time now)
{
    if (const auto *requestMessage = std::get_if<permit_request_message>(&message)) {
        handleRequest(from, requestMessage->request, now);
    } else if (const auto *returnMessage = std::get_if<permit_return>(&message)) {
        handleReturn(from, *returnMessage, now);
    }
}

void permit_coordinator::handleRequest(const network_address &from, const permit_request &request, monotonic_time now)
{
    const permit_holder holder{ from, request.id };
    const permit_pool_name name(request);
    if (const auto known = m_holders.find(holder); known != m_holders.end()) {
        permit_pool &pool = m_pools.at(known->second);
        // The reply to an earlier message was lost, or the instance confirms that it still waits.
        if (const auto endpoint = pool.grantedEndpoint(holder)) {
            m_port.send(from, permit_grant{ request.id, endpoint->endpoint, endpoint->startedAtMs });
            return;
        }
        if (pool.refresh(holder, now)) {
            m_port.send(from, permit_queued{ request.id });
            return;
        }
        m_holders.erase(known);
    }
    permit_pool *pool = m_resigned ? nullptr : findOrCreatePool(name, now);
    if (pool == nullptr) {
        m_port.send(from, permit_unavailable{ request.id, m_resigned });
        return;
    }
    pool->enqueue(holder, request, now);
    m_holders.emplace(holder, name);
    decide(name, now);
    if (m_holders.contains(holder) && !pool->grantedEndpoint(holder)) {
        m_port.send(from, permit_queued{ request.id });
    }
}

void permit_coordinator::handleReturn(const network_address &from, const permit_return &message, monotonic_time now)
{
    m_port.send(from, permit_return_acknowledgement{ message.id });
    const permit_holder holder{ from, message.id };
    const auto known = m_holders.find(holder);
    if (known == m_holders.end()) {
        return;
    }
    const permit_pool_name name = known->second;
    m_holders.erase(known);
    m_pools.at(name).release(holder, message.result, now);
    decide(name, now);
}

void permit_coordinator::decide(const permit_pool_name &name, monotonic_time now)
{
    permit_pool &pool = m_pools.at(name);
    for (const permit_decision &decision : pool.decide(now)) {
        if (const auto *granted = std::get_if<granted_permit>(&decision)) {
            m_port.send(granted->holder.instance, permit_grant{ granted->holder.id, granted->endpoint.endpoint, granted->endpoint.startedAtMs });
        } else {
            const auto &refused = std::get<refused_permit>(decision);
            m_holders.erase(refused.holder);
            m_port.send(refused.holder.instance, permit_refusal{ refused.holder.id, refused.retryAfter });
        }
    }
    logEjections(pool);
}

void permit_coordinator::logEjections(permit_pool &pool) const
{
    for (const ejection_change &change : pool.takeEjectionChanges()) {
        if (m_log && change.ejected) {
            m_log("endpoint_ejected", ejectionFields(change));
        } else if (m_log) {
            m_log("endpoint_readmitted", ejectionFields(change));
        }
    }
}

void permit_coordinator::resign()
{
    m_resigned = true;
    for (auto &[name, pool] : m_pools) {
        redirectWaiting(pool, true);
    }
}

void permit_coordinator::redirectWaiting(permit_pool &pool, bool stopping)
{
    for (const permit_holder &holder : pool.removeWaiting()) {
        m_holders.erase(holder);
        m_port.send(holder.instance, permit_unavailable{ holder.id, stopping });
    }
}

void permit_coordinator::advance(monotonic_time now)
{
    std::vector<permit_pool_name> duePools;
    for (const auto &[name, pool] : m_pools) {
        if (pool.nextDue(now) <= now || pool.waiting() > 0) {
            duePools.push_back(name);
        }
    }
    for (const permit_pool_name &name : duePools) {
        decide(name, now);
    }
    removeExpired();
}

monotonic_time permit_coordinator::nextDue(monotonic_time now) const
{
    monotonic_time next = monotonic_time::max();
    for (const auto &[name, pool] : m_pools) {
        next = std::min(next, pool.nextDue(now));
    }
    return next;
}

std::size_t permit_coordinator::waiting() const noexcept
{
    std::size_t count = 0;
    for (const auto &[name, pool] : m_pools) {
        count += pool.waiting();
    }
    return count;
}

std::size_t permit_coordinator::ejectedEndpoints() const noexcept
{
    std::size_t count = 0;
    for (const auto &[name, pool] : m_pools) {
        count += pool.ejected();
    }
    return count;
}

std::size_t permit_coordinator::inUse() const noexcept
{
    std::size_t count = 0;
    for (const auto &[name, pool] : m_pools) {
        count += pool.inUse();
    }
    return count;
}

} // namespace sycamoretray
