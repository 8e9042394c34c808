#pragma once

#include "directory/endpoint_directory.h"
#include "directory/request_routes.h"
#include "permits/permit_message.h"
#include "permits/permit_pool.h"

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamoretray
{

/** Identifies a queue: that of an owner of keys, or that of the endpoints of a service in one zone. */
struct permit_pool_name {
    std::optional<endpoint_incarnation> owner;
    service_id service;
    availability_zone zone;

    explicit permit_pool_name(const permit_request &request);
    /** Name by which the coordinator of the queue is ranked; the same for all incarnations of an endpoint. */
    std::string text() const;

    friend bool operator<(const permit_pool_name &left, const permit_pool_name &right) noexcept;
};

/** Receives decisions about the endpoints of queues for the event log. */
using permit_log = std::function<void(std::string_view event, const std::vector<std::pair<std::string, std::string>> &fields)>;

/**
 * Permit coordinator: holds the queues for which other instances request permits from this one, and grants the permits.
 *
 * Any instance can hold any queue; rankCoordinators() determines which one is used. If two instances hold the same queue for a
 * short time, its endpoints receive more requests than they have worker slots, and queue or refuse them.
 *
 * Thread safety: none.
 */
class permit_coordinator
{
public:
    explicit permit_coordinator(permit_port &port, permit_log log = nullptr);

    /** Sets a callback for each outcome of a promise to a refused request; none by default. Call it before the first message is received. */
    void setPromiseObserver(std::function<void(promise_outcome)> observer);

    /** Sets the endpoints. Requests that wait in a zone without endpoints for new work are answered with permit_unavailable. */
    void setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints, monotonic_time now);

    /** Sets the services, whose cold endpoints get no more requests than the services state. */
    void setServices(const std::map<service_id, service_definition> &services, monotonic_time now);

    /** Sets whether instances request permits for all requests, as those of a large site do; false by default. */
    void setLargeSite(bool large, monotonic_time now);

    /** Handles a message from the instance at @p from. Messages to permit clients are ignored. */
    void received(const network_address &from, const permit_message &message, monotonic_time now);

    /** Redirects waiting requests to other coordinators, and accepts no more. Permits in use can still be returned. */
    void resign();

    /** Handles expired timers. Call it at nextDue(). */
    void advance(monotonic_time now);
    monotonic_time nextDue(monotonic_time now) const;

    std::size_t waiting() const noexcept;
    std::size_t inUse() const noexcept;

    /** Number of endpoints that are ejected from the queues because of failures. */
    std::size_t ejectedEndpoints() const noexcept;

private:
    void handleRequest(const network_address &from, const permit_request &request, monotonic_time now);
    void handleReturn(const network_address &from, const permit_return &message, monotonic_time now);
    /** Returns the pool, creating it if needed; nullptr if none of its endpoints is known. */
    permit_pool *findOrCreatePool(const permit_pool_name &name, monotonic_time now);
    void updateEndpoints(const permit_pool_name &name, permit_pool &pool, monotonic_time now) const;
    void limitWhileCold(const permit_pool_name &name, permit_pool &pool, monotonic_time now) const;
    /** Tells the holders of waiting requests that no permit is granted here. @param stopping  another instance may grant one */
    void redirectWaiting(permit_pool &pool, bool stopping);
    void decide(const permit_pool_name &name, monotonic_time now);
    void logEjections(permit_pool &pool) const;
    /** Removes expired permits, and pools without endpoints and permits. */
    void removeExpired();

    permit_port &m_port;
    std::function<void(promise_outcome)> m_promiseObserver;
    permit_log m_log;
    bool m_resigned = false;
    std::map<endpoint_id, listed_endpoint> m_endpoints;
    std::map<service_id, service_definition> m_services;
    bool m_largeSite = false;
    std::map<permit_pool_name, permit_pool> m_pools;
    /** Pool of each permit that is requested or in use. */
    std::map<permit_holder, permit_pool_name> m_holders;
};

} // namespace sycamoretray
