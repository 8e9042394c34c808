#pragma once

#include "controller/controller_context.h"
#include "controller/evidence_tracker.h"
#include "controller/log_follower.h"

#include <deque>
#include <map>
#include <set>

namespace sycamoretray
{

/** Probes the other instances: heartbeat, evidence, reported positions, relay of missing records. Thread safety: none. */
class peer_monitor
{
public:
    peer_monitor(controller_context &context, evidence_tracker &evidence, log_follower &follower);

    void tick();

    /** Sends the next probes 20 ms after the newest ones instead of after the interval. */
    void probeSoon();

    void handleProbe(const incarnation_id &from, const pb::Probe &probe);
    void handleProbeReply(const incarnation_id &from, const pb::ProbeReply &reply);

    /** Any message from an instance shows that it is alive. */
    void heard(const incarnation_id &from);

    /** Prolongs all silences by @p gap: this process was paused and could not hear anybody. */
    void forgive(time_span gap);

    /** Joined, not left, and heard of within suspectAfter; always true for this instance once it has joined. */
    bool alive(const incarnation_id &incarnation) const;

    /** As alive(), and not about to leave. */
    bool candidate(const incarnation_id &incarnation) const;

    /** How long the instance was silent. */
    time_span silence(const incarnation_id &incarnation) const;

    /** True if more than half of the confirmers were heard lately; an instance without them may be the one that is cut off. */
    bool seesMajority() const;

    /** Highest position that the instance reported; own position for this instance. */
    log_offset reported(const incarnation_id &incarnation) const;

    /** All instances that are alive(), including this one. */
    std::vector<incarnation_id> aliveInstances() const;

    void setListedLeaving(std::set<incarnation_id> leaving);

    /** Sends the record to all other instances. */
    void notify(log_offset offset, const std::string &data);

private:
    struct peer {
        monotonic_time lastHeard;
        log_offset reported;
        bool leaving = false;
    };

    peer &peerOf(const incarnation_id &incarnation);
    void noteReport(const incarnation_id &from, std::uint64_t nextOffset, const std::string &digest);

    controller_context &m_context;
    evidence_tracker &m_evidence;
    log_follower &m_follower;
    std::map<incarnation_id, peer> m_peers;
    std::set<incarnation_id> m_listedLeaving;
    std::deque<std::pair<std::uint64_t, monotonic_time>> m_sent;
    std::uint64_t m_sequence = 0;
    monotonic_time m_lastProbe;
    monotonic_time m_nextProbe;
};

} // namespace sycamoretray
