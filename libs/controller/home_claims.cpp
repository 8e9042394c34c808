#include "controller/home_claims.h"

#include "records/record_builder.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/**
 * Extra delay before an instance that hears less than half of the confirmers claims servers. It may be the one that is cut off, and its
 * claims would take every server from homes that work; if the others are really lost, the servers are still served again.
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
    noteFreeServers();
    if (m_context.joined() && !m_context.stopping && m_evidence.fresh()) {
        claimInTurn();
    }
}

void home_claims::noteFreeServers()
{
    for (const auto &[id, server] : m_context.state.servers()) {
        if (m_peers.alive(server.home)) {
            m_free.erase(id);
        } else {
            m_free.try_emplace(id, m_context.now);
        }
    }
    std::erase_if(m_free, [this](const auto &entry) {
        return m_context.state.findServer(entry.first) == nullptr;
    });
}

std::vector<ranked_instance> home_claims::candidates() const
{
    std::vector<ranked_instance> result;
    for (const auto &[incarnation, instance] : m_context.state.instances()) {
        if (!m_peers.candidate(incarnation)) {
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

void home_claims::claimInTurn()
{
    if (m_free.empty()) {
        return;
    }
    std::vector<ranked_instance> instances = candidates();
    const time_span delay = m_peers.seesMajority() ? time_span(0) : minorityDelay;
    for (const auto &[id, since] : m_free) {
        const server_state &server = m_context.state.servers().at(id);
        const std::vector<ranked_instance> ranked = rankHomes(id, server.endpoint.zone, instances);
        const auto own = std::find_if(ranked.begin(), ranked.end(), [this](const ranked_instance &c) {
            return c.incarnation == m_context.self();
        });
        const time_span turn = delay + m_context.settings.timing.takeoverStep * (own - ranked.begin());
        if (own != ranked.end() && m_context.now - since >= turn && !m_claims.contains(id)) {
            claim(id, server.term);
        }
        // The next server's ranking counts this one as taken by the first in rank.
        for (ranked_instance &candidate : instances) {
            candidate.homes += !ranked.empty() && candidate.incarnation == ranked.front().incarnation ? 1 : 0;
        }
    }
}

void home_claims::claim(const server_id &server, home_term previous)
{
    m_claims[server] = m_queue.add(homeClaimedRecord(server, previous));
    m_context.event("home_claim", { { "server", server.value() }, { "previous_term", std::to_string(previous.value()) } });
}

void home_claims::handleOffer(const incarnation_id &from, const pb::HandoverOffer &offer)
{
    const server_id id(offer.server());
    const server_state *server = m_context.state.findServer(id);
    const bool fits = server != nullptr && server->home == from && server->term.value() == offer.term();
    if (fits && m_context.joined() && !m_context.stopping && !m_claims.contains(id)) {
        claim(id, server->term);
    }
}

void home_claims::ownRecordSeen(std::uint64_t sequence)
{
    std::erase_if(m_claims, [sequence](const auto &entry) {
        return entry.second <= sequence;
    });
}

} // namespace sycamoretray
