#pragma once

#include "controller/slot_mover.h"
#include "placement/placement_policy.h"

#include <map>
#include <set>

namespace sycamoretray
{

/** Decides which slots the homed servers give away: after a join, and when a server drains or is removed. Thread safety: none. */
class rebalancer
{
public:
    rebalancer(controller_context &context, home_servers &homes, const peer_monitor &peers, slot_mover &mover, placement_policy policy);

    /** Starts the next batch of each homed server that has slots to give away, except those in @p busy. */
    void tick(const std::set<server_id> &busy);

private:
    struct service_plan {
        log_offset position;
        slot_owners target;
        /** Servers that give slots away; keeps ticks cheap while the table is balanced. */
        std::set<server_index> givers;
        std::vector<server_id> eligible;
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
