#pragma once

#include "controller/home_servers.h"
#include "controller/slot_mover.h"

#include <map>
#include <set>

namespace sycamoretray
{

/**
 * Hands homes over to other instances: all of them at a planned stop, otherwise one at a time to balance the number of homes.
 *
 * The queue of the server is held until nothing is in flight; then the other instance is asked to claim the server. Thread safety: none.
 */
class home_handover
{
public:
    home_handover(controller_context &context, home_servers &homes, const peer_monitor &peers, const slot_mover &mover);

    void tick();
    void handleIdle(const dispatch_idle &idle);

    /** Servers that are being handed over. */
    std::set<server_id> servers() const;

    /** True if no home is left here, if no instance can take the remaining ones, or if the time limit of the stop is over. Valid only while stopping. */
    bool mayLeave() const;

private:
    struct handover {
        incarnation_id target;
        home_term term;
        operation_id operation;
        std::vector<hash_slot> held;
        monotonic_time started;
        monotonic_time offered;
        bool idle = false;
    };

    void start(const server_id &server, const incarnation_id &target);
    void offer(const server_id &server, handover &entry);
    void advance();
    void handOverAllHomes();
    void balanceHomes();
    std::map<incarnation_id, std::uint32_t> homeCounts() const;
    incarnation_id instanceWithFewestHomes(const server_id &server) const;
    std::vector<hash_slot> slotsToHold(const server_id &server) const;
    bool timedOut(const handover &entry) const;

    controller_context &m_context;
    home_servers &m_homes;
    const peer_monitor &m_peers;
    const slot_mover &m_mover;
    std::map<server_id, handover> m_handovers;
    monotonic_time m_imbalancedSince;
    monotonic_time m_stopSince;
};

} // namespace sycamoretray
