#pragma once

#include "controller/slot_mover.h"
#include "placement/placement_policy.h"

#include <map>
#include <set>

namespace sycamoretray
{

/**
 * Decides which slots move away from the servers whose home is this instance: after a server was added, and when one drains or is removed.
 *
 * Thread safety: none.
 */
class rebalancer
{
public:
    rebalancer(controller_context &context, home_servers &homes, const peer_monitor &peers, slot_mover &mover, placement_policy policy);

    /** Starts the next batch of moves of each server that has slots to give away, except those in @p busy. */
    void tick(const std::set<server_id> &busy);

private:
    struct service_plan {
        log_offset position;
        slot_owners target;
        /** Servers that have slots to give away; avoids a search of the table in each tick. */
        std::set<server_index> sources;
        std::vector<server_id> eligible;
        /** Time of the last change of eligible. */
        monotonic_time stableSince;
    };

    const service_plan &planFor(const service_id &service, const slot_table &table);
    void startBatch(const server_id &from, const slot_table &table, const slot_owners &target);

    controller_context &m_context;
    home_servers &m_homes;
    const peer_monitor &m_peers;
    slot_mover &m_mover;
    placement_policy m_policy;
    std::map<service_id, service_plan> m_plans;
};

} // namespace sycamoretray
