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
 * Most requests go to the less loaded of two servers. Non-idempotent requests with an id of the caller go to the server that
 * rendezvous hashing of the id gives, because only that server's home recognizes a repetition. The next server is chosen in
 * place of one that is not available, but only for ids created after that server went away: older ones may have run there.
 * A home treats ids from before its server came back as unknown, which covers the opposite change.
 *
 * Thread safety: any thread.
 */
class undivided_chooser
{
public:
    explicit undivided_chooser(std::uint64_t seed);

    struct choice {
        result_code code = result_code::no_owner;
        server_id server;
    };

    choice choose(const routed_service &service, const dispatch_request &request);

    /** A request for which choose() returned @p server has its outcome. */
    void finished(const service_id &service, const server_id &server);

    /** Load that the home of @p server reports. */
    void reported(const service_id &service, const server_id &server, std::uint32_t queued, std::uint32_t running);

    /** A new routing table is in force. */
    void update(const routing_table &table, wall_time now);

private:
    struct server_availability {
        bool available = false;
        wall_time changed;
    };

    struct service_choice {
        explicit service_choice(std::uint64_t seed)
            : chooser(seed)
        {
        }

        home_chooser chooser;
        std::map<server_id, server_availability> servers;
    };

    static choice chooseById(const service_choice &service, const dispatch_request &request);

    std::uint64_t m_seed;
    std::mutex m_mutex;
    std::map<service_id, service_choice> m_services;
};

} // namespace sycamoretray
