#pragma once

#include "controller/controller_context.h"
#include "controller/evidence_tracker.h"
#include "controller/log_follower.h"

#include <deque>
#include <map>
#include <set>

namespace sycamoretray
{

/**
 * Probes the other instances. Probes and replies serve as heartbeat and as evidence, report positions, and pass on missing records.
 *
 * Thread safety: none.
 */
class peer_monitor
{
public:
    peer_monitor(controller_context &context, evidence_tracker &evidence, log_follower &follower);

    void tick();

    /** Sends the next probes 20 ms after the previous ones instead of after the probe interval. */
    void probeSoon();

    void handleProbe(const incarnation_id &from, const pb::Probe &probe);
    void handleProbeReply(const incarnation_id &from, const pb::ProbeReply &reply);

    /** Records that any message of @p from arrived, which shows that it is alive. */
    void messageReceived(const incarnation_id &from);

    /** Does not count @p gap, in which this process was paused, as time without messages. */
    void excludePause(time_span gap);

    /** True if the instance has joined, has not left and sent a message within suspectAfter. Always true for this instance once it has joined. */
    bool alive(const incarnation_id &incarnation) const;

    /** True if the instance is alive() and not about to leave, so that it may become a home or a confirmer. */
    bool available(const incarnation_id &incarnation) const;

    /** Time since the last message of the instance; 0 for this instance and for unknown ones. */
    time_span timeSinceMessage(const incarnation_id &incarnation) const;

    /** True if more than half of the confirmers are alive() or there are none. Otherwise this instance may be the one that is partitioned. */
    bool seesMajority() const;

    /** Highest position that the instance reported; the own position for this instance. */
    log_offset reported(const incarnation_id &incarnation) const;

    /** All instances that are alive(), including this one. */
    std::vector<incarnation_id> aliveInstances() const;

    /** Sets the instances that are marked as leaving in the instance list. */
    void setListedLeaving(std::set<incarnation_id> leaving);

    /** Sends the record to all other instances. */
    void sendRecordToAll(log_offset offset, const std::string &data);

private:
    struct peer {
        monotonic_time lastHeard;
        log_offset reported;
        bool leaving = false;
    };

    peer &peerOf(const incarnation_id &incarnation);
    void recordReport(const incarnation_id &from, std::uint64_t nextOffset, const std::string &digest);

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
