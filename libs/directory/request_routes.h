#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/request_rate.h"
#include "directory/request_limits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

/** Destination of a share of the requests of a route. */
struct route_target {
    service_id service;
    /** Share relative to the other targets of the route; not negative. */
    double weight = 1;
};

struct request_route {
    std::string name;
    /** Host name in lower case. */
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    /** At least one. */
    std::vector<route_target> targets;
    /** Requests may run more than once. */
    bool idempotent = false;
    /** Maximum time until the caller gets a response. */
    time_span timeout = std::chrono::seconds(1);
    /** Target for the response time. */
    time_span latencyTarget = std::chrono::seconds(1);
    /** Maximum number of endpoints on which one request may run. */
    std::uint32_t maxAttempts = 1;
    /** Priority among the requests of a service; 0 is the most urgent. */
    std::uint32_t priority = 0;
};

struct service_definition {
    /** Path of the health check of the endpoints. */
    std::string healthPath;
    std::uint32_t maxConnections = 100;
    /** Endpoints own ranges of keys and refuse requests for other keys. */
    bool dividedByKey = false;
    /** Time for which an endpoint is cold after its start. */
    time_span coldTime{};
    /** Requests a second that a cold endpoint takes from all instances together; nothing if they are not limited. */
    std::optional<request_rate> coldRequestRate;
};

/**
 * Routes, services and limits of one configuration version. Immutable after construction.
 *
 * Thread safety: const access from any thread.
 */
class request_routes
{
public:
    request_routes(std::uint64_t version, std::vector<request_route> routes, std::map<service_id, service_definition> services, request_limits limits = {});

    std::uint64_t version() const noexcept;

    /**
     * Returns the route of @p host with the longest prefix of @p path, or nullptr.
     *
     * @param host  as in the Host field; a port and the case of letters are ignored
     * @param path  without the query
     */
    const request_route *find(std::string_view host, std::string_view path) const;

    const std::vector<request_route> &routes() const noexcept;
    const std::map<service_id, service_definition> &services() const noexcept;

    /** Returns the limits on what callers may send. */
    const request_limits &limits() const noexcept;

    /** Returns the definition of @p service, or nullptr. */
    const service_definition *service(const service_id &service) const;

private:
    std::uint64_t m_version = 0;
    std::vector<request_route> m_routes;
    std::map<service_id, service_definition> m_services;
    request_limits m_limits;
    /** Indexes of the routes of a host, longest prefix first. */
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_hosts;
};

} // namespace sycamoretray
