#include "controller/home_claims.h"

#include "records/record_builder.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/**
 * Additional delay before an instance that does not reach a majority of the confirmers claims servers. It may be the instance that is
 * partitioned, and its claims would take all servers from working homes. If the others have failed, the servers get a home after the delay.
 */
constexpr time_span minorityDelay = std::chrono::seconds(3);

} // namespace

home_claims::home_claims(controller_context &context, const evidence_tracker &evidence, const peer_monitor &peers, append_queue &queue)
    : m_context(context)
    , m_evidence(evidence)
    , m_peers(peers)
    , m_queue(queue)
{
}

void home_claims::tick()
{
    updateServersWithoutHome();
    if (m_context.joined() && !m_context.stopping && m_evidence.fresh()) {
        claimServersWithoutHome();
    }
}

void home_claims::updateServersWithoutHome()
{
    for (const auto &[id, server] : m_context.state.servers()) {
        if (m_peers.alive(server.home)) {
            m_withoutHome.erase(id);
        } else {
            m_withoutHome.try_emplace(id, m_context.now);
        }
    }
    std::erase_if(m_withoutHome, [this](const auto &entry) {
        return m_context.state.findServer(entry.first) == nullptr;
    });
}

std::vector<ranked_instance> home_claims::candidates() const
{
    std::vector<ranked_instance> result;
    for (const auto &[incarnation, instance] : m_context.state.instances()) {
        if (!m_peers.available(incarnation)) {
            continue;
        }
        ranked_instance candidate{ incarnation, instance.zone, 0 };
        for (const auto &[id, server] : m_context.state.servers()) {
            candidate.homes += server.home == incarnation ? 1 : 0;
        }
        result.push_back(candidate);
    }
    return result;
}

void home_claims::claimServersWithoutHome()
{
    if (m_withoutHome.empty()) {
        return;
    }
    std::vector<ranked_instance> instances = candidates();
    const time_span delay = m_peers.seesMajority() ? time_span(0) : minorityDelay;
    for (const auto &[id, since] : m_withoutHome) {
        const server_state &server = m_context.state.servers().at(id);
        const std::vector<ranked_instance> ranked = rankHomes(id, server.endpoint.zone, instances);
        const auto own = std::find_if(ranked.begin(), ranked.end(), [this](const ranked_instance &c) {
            return c.incarnation == m_context.self();
        });
        const time_span claimDelay = delay + m_context.settings.timing.takeoverStep * (own - ranked.begin());
        if (own != ranked.end() && m_context.now - since >= claimDelay && !m_pendingClaims.contains(id)) {
            claim(id, server.term);
        }
        // Ranks the next server as if the first in rank were home of this one.
        for (ranked_instance &candidate : instances) {
            candidate.homes += !ranked.empty() && candidate.incarnation == ranked.front().incarnation ? 1 : 0;
        }
    }
}

void home_claims::claim(const server_id &server, home_term previous)
{
    m_pendingClaims[server] = m_queue.add(homeClaimedRecord(server, previous));
    m_context.event("home_claim", { { "server", server.value() }, { "previous_term", std::to_string(previous.value()) } });
}

void home_claims::handleOffer(const incarnation_id &from, const pb::HandoverOffer &offer)
{
    const server_id id(offer.server());
    const server_state *server = m_context.state.findServer(id);
    const bool offerMatches = server != nullptr && server->home == from && server->term.value() == offer.term();
    if (offerMatches && m_context.joined() && !m_context.stopping && !m_pendingClaims.contains(id)) {
        claim(id, server->term);
    }
}

void home_claims::ownRecordReplayed(std::uint64_t sequence)
{
    std::erase_if(m_pendingClaims, [sequence](const auto &entry) {
        return entry.second <= sequence;
    });
}

} // namespace sycamoretray
