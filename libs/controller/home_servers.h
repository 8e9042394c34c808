#pragma once

#include "controller/server_lease.h"

#include <map>
#include <memory>

namespace sycamoretray
{

/** The leases of all servers whose home is this instance. Thread safety: none. */
class home_servers
{
public:
    explicit home_servers(lease_services services);

    /** Creates and ends leases according to the changed replayed state, and opens and closes their dispatch. */
    void stateChanged();
    void tick();
    void handleReply(const lease_reply &reply);
    void handleFailure(const lease_failed &failure);
    /** Does not count @p gap, in which this process was paused, as time without replies. */
    void excludePause(time_span gap);

    /** If @p newHome is the next to claim @p server, the claim counts as a handover and the queue goes there. */
    void expectHandover(const server_id &server, const incarnation_id &newHome);
    void cancelHandover(const server_id &server);

    /** Ends all leases; queued requests are not passed on. */
    void closeAll(dispatch_close_reason reason);

    /** Returns nullptr if this instance is not home of the server. */
    server_lease *find(const server_id &server);
    std::vector<server_id> servers() const;
    const std::map<server_id, std::unique_ptr<server_lease>> &leases() const noexcept;

private:
    void close(const server_id &server);
    /** Servers that do not respond and should get no slots of a lost server. */
    std::vector<server_id> avoidedServers() const;
    /** Terminates the process if two leases that may be in force cover the same slot. */
    void requireSingleGrant() const;
    void releaseLostSlots(const server_lease &lease, bool wasUp);

    lease_services m_services;
    std::map<server_id, std::unique_ptr<server_lease>> m_leases;
    std::map<server_id, incarnation_id> m_handovers;
};

} // namespace sycamoretray
