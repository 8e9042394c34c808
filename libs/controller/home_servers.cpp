#include "controller/home_servers.h"

#include "control_state/invariant.h"

namespace sycamoretray
{

namespace
{

/** A server that does not respond for this long gets no slots of a lost one, so that the loss of a zone moves slots only once. */
constexpr time_span avoidAfter = std::chrono::milliseconds(200);

} // namespace

home_servers::home_servers(lease_services services)
    : m_services(services)
{
}

void home_servers::stateChanged()
{
    const control_state &state = m_services.context.state;
    const incarnation_id &self = m_services.context.self();
    for (const server_id &id : servers()) {
        const server_state *server = state.findServer(id);
        if (server == nullptr || server->home != self || server->term != m_leases.at(id)->term()) {
            close(id);
        }
    }
    for (const auto &[id, server] : state.servers()) {
        if (server.home != self || !m_services.context.joined()) {
            continue;
        }
        auto &lease = m_leases[id];
        if (lease == nullptr) {
            lease = std::make_unique<server_lease>(m_services, id, server.term);
            m_services.context.add(open_dispatch{ id, server.term, server.endpoint });
            m_services.context.event("home_opened", { { "server", id.value() }, { "term", std::to_string(server.term.value()) } });
            continue;
        }
        const bool wasUp = lease->phase() != lease_phase::down;
        lease->stateChanged();
        releaseLostSlots(*lease, wasUp);
    }
}

void home_servers::releaseLostSlots(const server_lease &lease, bool wasUp)
{
    if (wasUp && lease.phase() == lease_phase::down) {
        release_slots release{ lease.server(), {} };
        for (std::uint32_t slot = 0; slot < hashSlotCount; ++slot) {
            if (lease.slotsInForce().test(slot)) {
                release.slots.emplace_back(static_cast<std::uint16_t>(slot));
            }
        }
        m_services.context.addAfterRouting(std::move(release));
    }
}

void home_servers::close(const server_id &server)
{
    const server_state *state = m_services.context.state.findServer(server);
    close_dispatch action{ server, dispatch_close_reason::home_lost, {} };
    const auto handover = m_handovers.find(server);
    if (state == nullptr) {
        action.reason = dispatch_close_reason::server_removed;
    } else {
        action.newHome = state->home;
        if (handover != m_handovers.end() && handover->second == state->home) {
            action.reason = dispatch_close_reason::handover;
        }
    }
    m_services.context.addAfterRouting(std::move(action));
    m_services.context.event("home_closed", { { "server", server.value() } });
    m_handovers.erase(server);
    m_leases.erase(server);
}

void home_servers::closeAll(dispatch_close_reason reason)
{
    for (const auto &[id, lease] : m_leases) {
        m_services.context.addAfterRouting(close_dispatch{ id, reason, {} });
    }
    m_leases.clear();
}

void home_servers::expectHandover(const server_id &server, const incarnation_id &newHome)
{
    m_handovers[server] = newHome;
}

void home_servers::cancelHandover(const server_id &server)
{
    m_handovers.erase(server);
}

std::vector<server_id> home_servers::avoidedServers() const
{
    std::vector<server_id> result;
    for (const auto &[id, server] : m_services.context.state.servers()) {
        const auto lease = m_leases.find(id);
        if (lease != m_leases.end() ? lease->second->timeSinceReply() > avoidAfter : !m_services.peers.alive(server.home)) {
            result.push_back(id);
        }
    }
    return result;
}

void home_servers::tick()
{
    const std::vector<server_id> avoid = avoidedServers();
    for (const auto &[id, lease] : m_leases) {
        lease->tick(avoid);
    }
    requireSingleGrant();
}

void home_servers::requireSingleGrant() const
{
    std::map<service_id, std::bitset<hashSlotCount>> granted;
    for (const auto &[id, lease] : m_leases) {
        if (!lease->leaseMayBeInForce()) {
            continue;
        }
        auto &slots = granted[lease->state().service];
        requireInvariant((slots & lease->slotsInForce()).none(), "at most one unexpired grant per slot", id.value());
        slots |= lease->slotsInForce();
    }
}

void home_servers::handleReply(const lease_reply &reply)
{
    server_lease *lease = find(reply.server);
    if (lease != nullptr) {
        lease->handleReply(reply);
    }
}

void home_servers::handleFailure(const lease_failed &failure)
{
    server_lease *lease = find(failure.server);
    if (lease != nullptr) {
        lease->handleFailure(failure);
    }
}

void home_servers::excludePause(time_span gap)
{
    for (const auto &[id, lease] : m_leases) {
        lease->excludePause(gap);
    }
}

server_lease *home_servers::find(const server_id &server)
{
    const auto found = m_leases.find(server);
    return found == m_leases.end() ? nullptr : found->second.get();
}

std::vector<server_id> home_servers::servers() const
{
    std::vector<server_id> result;
    for (const auto &[id, lease] : m_leases) {
        result.push_back(id);
    }
    return result;
}

const std::map<server_id, std::unique_ptr<server_lease>> &home_servers::leases() const noexcept
{
    return m_leases;
}

} // namespace sycamoretray
