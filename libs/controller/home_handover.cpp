#include "controller/home_handover.h"

#include "placement/home_ranking.h"
#include "routing/hash_slots.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

constexpr time_span offerRetryInterval = std::chrono::milliseconds(300);
/** The queue is held during a handover, so one for balancing is cancelled when requests in flight take this long. */
constexpr time_span balanceTimeout = std::chrono::seconds(1);
/** The home counts must be imbalanced for this long, so that the restart of an instance does not move homes of others. */
constexpr time_span imbalanceDelay = std::chrono::seconds(1);
/** How long a stopping instance waits for another instance if there is none. */
constexpr time_span noTargetTimeout = std::chrono::seconds(1);

} // namespace

home_handover::home_handover(controller_context &context, home_servers &homes, const peer_monitor &peers, const slot_mover &mover)
    : m_context(context)
    , m_homes(homes)
    , m_peers(peers)
    , m_mover(mover)
{
}

std::set<server_id> home_handover::servers() const
{
    std::set<server_id> result;
    for (const auto &[server, entry] : m_handovers) {
        result.insert(server);
    }
    return result;
}

std::map<incarnation_id, std::uint32_t> home_handover::homeCounts() const
{
    std::map<incarnation_id, std::uint32_t> counts;
    for (const auto &[incarnation, instance] : m_context.state.instances()) {
        if (m_peers.available(incarnation)) {
            counts[incarnation] = 0;
        }
    }
    for (const auto &[id, server] : m_context.state.servers()) {
        const auto found = counts.find(server.home);
        if (found != counts.end()) {
            ++found->second;
        }
    }
    for (const auto &[server, entry] : m_handovers) {
        const auto found = counts.find(entry.target);
        if (found != counts.end()) {
            ++found->second;
        }
    }
    return counts;
}

incarnation_id home_handover::instanceWithFewestHomes(const server_id &server) const
{
    std::vector<ranked_instance> candidates;
    for (const auto &[incarnation, homes] : homeCounts()) {
        if (incarnation != m_context.self()) {
            candidates.push_back(ranked_instance{ incarnation, m_context.state.instances().at(incarnation).zone, homes });
        }
    }
    const availability_zone &zone = m_context.state.servers().at(server).endpoint.zone;
    const std::vector<ranked_instance> ranked = rankHomes(server, zone, std::move(candidates));
    return ranked.empty() ? incarnation_id() : ranked.front().incarnation;
}

std::vector<hash_slot> home_handover::slotsToHold(const server_id &server) const
{
    const slot_table *table = m_context.state.findTable(m_context.state.servers().at(server).service);
    std::set<hash_slot> slots;
    if (table == nullptr) {
        // Requests of a service that is not divided by key can be in any slot.
        for (std::uint32_t slot = 0; slot < hashSlotCount; ++slot) {
            slots.emplace(static_cast<std::uint16_t>(slot));
        }
        return { slots.begin(), slots.end() };
    }
    const std::vector<hash_slot> owned = table->slotsOf(server);
    slots.insert(owned.begin(), owned.end());
    for (const auto &[key, exception] : table->exceptions()) {
        if (exception.server == server) {
            slots.insert(slotOfKey(key));
        }
    }
    return { slots.begin(), slots.end() };
}

void home_handover::start(const server_id &server, const incarnation_id &target)
{
    handover entry;
    entry.target = target;
    entry.term = m_homes.find(server)->term();
    entry.operation = m_context.newOperation();
    entry.held = slotsToHold(server);
    entry.started = m_context.now;
    m_context.add(hold_slots{ entry.operation, server, entry.held });
    m_handovers[server] = std::move(entry);
}

void home_handover::offer(const server_id &server, handover &entry)
{
    entry.offered = m_context.now;
    m_homes.expectHandover(server, entry.target);
    pb::PeerMessage message;
    message.mutable_handover_offer()->set_server(server.value());
    message.mutable_handover_offer()->set_term(entry.term.value());
    m_context.sendPeer(entry.target, message);
}

void home_handover::handleIdle(const dispatch_idle &idle)
{
    const auto found = m_handovers.find(idle.server);
    if (found != m_handovers.end() && found->second.operation == idle.operation && !found->second.idle) {
        found->second.idle = true;
        offer(found->first, found->second);
    }
}

bool home_handover::timedOut(const handover &entry) const
{
    return !m_context.stopping && m_context.now - entry.started > balanceTimeout;
}

void home_handover::advance()
{
    for (auto current = m_handovers.begin(); current != m_handovers.end();) {
        auto &[server, entry] = *current;
        server_lease *lease = m_homes.find(server);
        if (lease == nullptr || lease->term() != entry.term) {
            current = m_handovers.erase(current);
            continue;
        }
        if (timedOut(entry)) {
            m_homes.cancelHandover(server);
            m_context.addAfterRouting(release_slots{ server, entry.held });
            current = m_handovers.erase(current);
            continue;
        }
        if (entry.idle && m_context.now - entry.offered > offerRetryInterval) {
            if (!m_peers.available(entry.target)) {
                const incarnation_id next = instanceWithFewestHomes(server);
                entry.target = next.value().empty() ? entry.target : next;
            }
            offer(server, entry);
        }
        ++current;
    }
}

void home_handover::handOverAllHomes()
{
    if (m_stopSince == monotonic_time()) {
        m_stopSince = m_context.now;
    }
    for (const server_id &server : m_homes.servers()) {
        const incarnation_id target = instanceWithFewestHomes(server);
        if (!m_handovers.contains(server) && !m_mover.busy(server) && !target.value().empty()) {
            start(server, target);
        }
    }
}

void home_handover::balanceHomes()
{
    const std::map<incarnation_id, std::uint32_t> counts = homeCounts();
    const auto fewer = [](const auto &a, const auto &b) {
        return a.second < b.second;
    };
    const auto least = std::min_element(counts.begin(), counts.end(), fewer);
    const auto most = std::max_element(counts.begin(), counts.end(), fewer);
    // Only the instance with the most homes hands one over, so that two instances do not choose the same target at once.
    const bool imbalanced = counts.size() > 1 && most->first == m_context.self() && most->second >= least->second + 2;
    if (!imbalanced) {
        m_imbalancedSince = m_context.now;
        return;
    }
    if (!m_handovers.empty() || m_context.now - m_imbalancedSince < imbalanceDelay) {
        return;
    }
    for (const auto &[server, lease] : m_homes.leases()) {
        const bool otherZone = lease->state().endpoint.zone != m_context.state.instances().at(least->first).zone;
        const bool movable = lease->phase() == lease_phase::granting && !m_mover.busy(server);
        if (movable && (otherZone || lease->state().endpoint.zone == m_context.settings.zone)) {
            start(server, least->first);
            return;
        }
    }
}

void home_handover::tick()
{
    advance();
    if (m_context.stopping) {
        handOverAllHomes();
    } else if (m_context.joined()) {
        balanceHomes();
    }
}

bool home_handover::mayLeave() const
{
    if (m_homes.leases().empty()) {
        return true;
    }
    time_span limit = noTargetTimeout;
    const std::map<incarnation_id, std::uint32_t> counts = homeCounts();
    if (!counts.empty()) {
        for (const effective_service &service : m_context.state.configuration().services()) {
            limit = std::max(limit, service.limits.leaveLimit);
        }
    }
    return m_stopSince != monotonic_time() && m_context.now - m_stopSince > limit;
}

} // namespace sycamoretray
