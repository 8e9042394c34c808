#include "controller/rebalancer.h"

namespace sycamoretray
{

namespace
{

constexpr std::size_t batchLimit = 64;
/** Servers that come up together are balanced once, not one after another. */
constexpr time_span settleTime = std::chrono::milliseconds(300);

} // namespace

rebalancer::rebalancer(controller_context &context, home_servers &homes, const peer_monitor &peers, slot_mover &mover, placement_policy policy)
    : m_context(context)
    , m_homes(homes)
    , m_peers(peers)
    , m_mover(mover)
    , m_policy(policy)
{
}

const rebalancer::service_plan &rebalancer::planFor(const service_id &service, const slot_table &table)
{
    service_plan &plan = m_plans[service];
    if (plan.position == m_context.state.position()) {
        return plan;
    }
    const placement_servers servers = m_context.state.placementServers(table);
    std::vector<server_id> eligible;
    for (const placement_server &server : servers) {
        if (server.eligible) {
            eligible.push_back(server.id);
        }
    }
    if (eligible != plan.eligible) {
        plan.eligible = std::move(eligible);
        plan.stableSince = m_context.now;
    }
    plan.position = m_context.state.position();
    plan.target = balance(m_policy, table.owners(), servers);
    plan.givers.clear();
    for (std::size_t slot = 0; slot < plan.target.size(); ++slot) {
        if (plan.target[slot] != table.owners()[slot]) {
            plan.givers.insert(table.owners()[slot]);
        }
    }
    return plan;
}

void rebalancer::startBatch(const server_id &from, const slot_table &table, const slot_owners &target)
{
    const server_index own = table.indexOf(from);
    server_index to = noServer;
    std::vector<hash_slot> slots;
    for (std::size_t slot = table.owners().size(); slot-- > 0 && slots.size() < batchLimit;) {
        if (table.owners()[slot] != own || target[slot] == own || target[slot] == noServer) {
            continue;
        }
        if (to == noServer && m_peers.alive(m_context.state.servers().at(table.servers()[target[slot]]).home)) {
            to = target[slot];
        }
        if (target[slot] == to) {
            slots.emplace_back(static_cast<std::uint16_t>(slot));
        }
    }
    if (!slots.empty()) {
        m_mover.moveSlots(from, table.servers()[to], std::move(slots));
        return;
    }
    // A server that gives away everything also returns the hot keys that are served there.
    for (const auto &[key, exception] : table.exceptions()) {
        if (exception.server == from && !m_context.state.servers().at(from).eligible()) {
            m_mover.moveKey(from, server_id(), key);
            return;
        }
    }
}

void rebalancer::tick(const std::set<server_id> &busy)
{
    for (const auto &[from, lease] : m_homes.leases()) {
        const slot_table *table = m_context.state.findTable(lease->state().service);
        if (table == nullptr || busy.contains(from) || m_mover.busy(from) || m_mover.backingOff(from) || !lease->mayMoveSlots()) {
            continue;
        }
        const service_plan &plan = planFor(lease->state().service, *table);
        const bool settled = m_context.now - plan.stableSince >= settleTime;
        const bool eligible = lease->state().eligible();
        const bool gives = plan.givers.contains(table->indexOf(from)) || (!eligible && table->ownsAnything(from));
        if (gives && (settled || !eligible)) {
            startBatch(from, *table, plan.target);
        }
    }
}

} // namespace sycamoretray
