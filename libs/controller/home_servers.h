#pragma once

#include "controller/server_lease.h"

#include <map>
#include <memory>

namespace sycamoretray
{

/** The leases of all servers of which this instance is home. Thread safety: none. */
class home_servers
{
public:
    explicit home_servers(lease_services services);

    /** Creates and ends leases after the replayed state has changed, and opens and closes their dispatch. */
    void stateChanged();
    void tick();
    void handleReply(const lease_reply &reply);
    void handleFailure(const lease_failed &failure);
    void forgive(time_span gap);

    /** The queue of @p server goes to @p newHome if that claims it next. */
    void expectHandover(const server_id &server, const incarnation_id &newHome);
    void cancelHandover(const server_id &server);

    /** Ends all leases; the queues stay here. */
    void closeAll(dispatch_close_reason reason);

    /** Returns nullptr if this instance is not home of the server. */
    server_lease *find(const server_id &server);
    std::vector<server_id> servers() const;
    const std::map<server_id, std::unique_ptr<server_lease>> &leases() const noexcept;

private:
    void close(const server_id &server);
    std::vector<server_id> avoidedServers() const;
    void requireSingleGrant() const;
    void releaseLostSlots(const server_lease &lease, bool wasUp);

    lease_services m_services;
    std::map<server_id, std::unique_ptr<server_lease>> m_leases;
    std::map<server_id, incarnation_id> m_handovers;
};

} // namespace sycamoretray
