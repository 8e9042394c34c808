#include "controller/rebalancer.h"

namespace sycamoretray
{

namespace
{

constexpr std::size_t maxSlotsPerBatch = 64;
/** The set of eligible servers must be stable for this long, so that servers that come up together cause one rebalancing. */
constexpr time_span stabilityDelay = std::chrono::milliseconds(300);

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
    plan.sources.clear();
    for (std::size_t slot = 0; slot < plan.target.size(); ++slot) {
        if (plan.target[slot] != table.owners()[slot]) {
            plan.sources.insert(table.owners()[slot]);
        }
    }
    return plan;
}

void rebalancer::startBatch(const server_id &from, const slot_table &table, const slot_owners &target)
{
    const server_index own = table.indexOf(from);
    server_index to = noServer;
    std::vector<hash_slot> slots;
    for (std::size_t slot = table.owners().size(); slot-- > 0 && slots.size() < maxSlotsPerBatch;) {
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
    // A server that gives away all slots also returns the hot keys that were moved there.
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
        const bool stable = m_context.now - plan.stableSince >= stabilityDelay;
        const bool eligible = lease->state().eligible();
        const bool isSource = plan.sources.contains(table->indexOf(from)) || (!eligible && table->ownsAnything(from));
        if (isSource && (stable || !eligible)) {
            startBatch(from, *table, plan.target);
        }
    }
}

} // namespace sycamoretray
