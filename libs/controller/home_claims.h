#pragma once

#include "controller/append_queue.h"
#include "controller/evidence_tracker.h"
#include "controller/peer_monitor.h"
#include "placement/home_ranking.h"

#include <map>

namespace sycamoretray
{

/**
 * Claims servers that have no home or whose home does not respond.
 *
 * All instances compute the same ranking, which delays the claim of each by its rank. Thread safety: none.
 */
class home_claims
{
public:
    home_claims(controller_context &context, const evidence_tracker &evidence, const peer_monitor &peers, append_queue &queue);

    void tick();

    /** Claims the server that its home offers, if the offer matches the replayed state. */
    void handleOffer(const incarnation_id &from, const pb::HandoverOffer &offer);

    /** A record of this instance was replayed. */
    void ownRecordReplayed(std::uint64_t sequence);

private:
    void updateServersWithoutHome();
    void claimServersWithoutHome();
    void claim(const server_id &server, home_term previous);
    std::vector<ranked_instance> candidates() const;

    controller_context &m_context;
    const evidence_tracker &m_evidence;
    const peer_monitor &m_peers;
    append_queue &m_queue;
    /** Since when the server has no responsive home. */
    std::map<server_id, monotonic_time> m_withoutHome;
    /** Sequences of own claims that are not replayed yet. */
    std::map<server_id, std::uint64_t> m_pendingClaims;
};

} // namespace sycamoretray
