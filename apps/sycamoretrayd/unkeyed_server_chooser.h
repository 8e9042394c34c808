#pragma once

#include "dispatch/home_chooser.h"
#include "dispatch/server_dispatcher.h"
#include "routing/routing_table.h"

#include <map>
#include <mutex>
#include <optional>

namespace sycamoretray
{

/**
 * Chooses the server for a request of a service that is not divided by key.
 *
 * Most requests go to the less loaded of two random servers. Non-idempotent requests with a caller-supplied id go to the server
 * that rendezvous hashing of the id selects, because only the home of that server recognizes a repeated id. If that server is
 * unavailable, the next one is chosen, but only for ids created after the server became unavailable: older ones may have run
 * there. When it becomes available again, its home treats ids from before that time as unknown.
 *
 * Thread safety: any thread.
 */
class unkeyed_server_chooser
{
public:
    explicit unkeyed_server_chooser(std::uint64_t seed);

    struct choice {
        result_code code = result_code::no_owner;
        server_id server;
    };

    choice choose(const routed_service &service, const dispatch_request &request);

    /** A request for which choose() returned @p server has ended. */
    void finished(const service_id &service, const server_id &server);

    /** Sets the load that the home of @p server reported. */
    void applyLoadReport(const service_id &service, const server_id &server, std::uint32_t queued, std::uint32_t running);

    /** Sets the servers and their availability from a new routing table. */
    void update(const routing_table &table, wall_time now);

private:
    struct server_availability {
        bool available = false;
        wall_time changedAt;
    };

    struct service_state {
        explicit service_state(std::uint64_t seed)
            : chooser(seed)
        {
        }

        home_chooser chooser;
        std::map<server_id, server_availability> servers;
    };

    static choice chooseById(const service_state &service, const dispatch_request &request);

    std::uint64_t m_seed;
    std::mutex m_mutex;
    std::map<service_id, service_state> m_services;
};

} // namespace sycamoretray
