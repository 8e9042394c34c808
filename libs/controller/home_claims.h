#pragma once

#include "controller/append_queue.h"
#include "controller/evidence_tracker.h"
#include "controller/peer_monitor.h"
#include "placement/home_ranking.h"

#include <map>

namespace sycamoretray
{

/** Claims servers that have no home or whose home is suspected, in an order that all instances compute alike. Thread safety: none. */
class home_claims
{
public:
    home_claims(controller_context &context, const evidence_tracker &evidence, const peer_monitor &peers, append_queue &queue);

    void tick();

    /** Claims the server that its home offers, if the offer still fits the replayed state. */
    void handleOffer(const incarnation_id &from, const pb::HandoverOffer &offer);

    /** A record of this instance was replayed. */
    void ownRecordSeen(std::uint64_t sequence);

private:
    void noteFreeServers();
    void claimInTurn();
    void claim(const server_id &server, home_term previous);
    std::vector<ranked_instance> candidates() const;

    controller_context &m_context;
    const evidence_tracker &m_evidence;
    const peer_monitor &m_peers;
    append_queue &m_queue;
    /** Since when the server has no living home. */
    std::map<server_id, monotonic_time> m_free;
    /** Sequences of own claims that were not replayed yet. */
    std::map<server_id, std::uint64_t> m_claims;
};

} // namespace sycamoretray
