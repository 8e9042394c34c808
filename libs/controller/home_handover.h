#pragma once

#include "controller/home_servers.h"
#include "controller/slot_mover.h"

#include <map>
#include <set>

namespace sycamoretray
{

/**
 * Hands homes over to other instances: all of them at a planned stop, one at a time to an instance that has fewer.
 *
 * The queue of the server is held until nothing is in flight, then the other instance claims the server. Thread safety: none.
 */
class home_handover
{
public:
    home_handover(controller_context &context, home_servers &homes, const peer_monitor &peers, const slot_mover &mover);

    void tick();
    void handleIdle(const dispatch_idle &idle);

    /** Servers that are being handed over. */
    std::set<server_id> servers() const;

    /** No instance could take the homes that are left, or the time to leave is over. Only meaningful while stopping. */
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
    void stopHomes();
    void spreadHomes();
    std::map<incarnation_id, std::uint32_t> homeCounts() const;
    incarnation_id fewestHomes(const server_id &server) const;
    std::vector<hash_slot> slotsToHold(const server_id &server) const;
    bool givesUp(const handover &entry) const;

    controller_context &m_context;
    home_servers &m_homes;
    const peer_monitor &m_peers;
    const slot_mover &m_mover;
    std::map<server_id, handover> m_handovers;
    monotonic_time m_unevenSince;
    monotonic_time m_stopSince;
};

} // namespace sycamoretray
