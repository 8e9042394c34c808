#pragma once

#include "controller/append_queue.h"
#include "controller/evidence_tracker.h"
#include "controller/peer_monitor.h"

#include <map>
#include <set>

namespace sycamoretray
{

/** Joins the instance, declares failed instances left, and keeps the confirmers up to date, one change at a time. Thread safety: none. */
class membership
{
public:
    membership(controller_context &context, const evidence_tracker &evidence, peer_monitor &peers, append_queue &queue);

    void tick();
    void handleList(const instance_list_result &list);

    /** A record of this instance was replayed. */
    void ownRecordReplayed(std::uint64_t sequence);

    /** True if this is the responsive instance with the smallest incarnation id. It writes the records and snapshots that any instance could write. */
    bool writesSharedRecords() const;

private:
    void join();
    void declareLeft();
    bool shouldDeclareLeft(const incarnation_id &incarnation, const instance_state &instance) const;
    void changeConfirmers();
    bool proposeChange(std::uint64_t number);

    controller_context &m_context;
    const evidence_tracker &m_evidence;
    peer_monitor &m_peers;
    append_queue &m_queue;
    std::set<incarnation_id> m_listed;
    bool m_listKnown = false;
    /** Sequence of the newest record from here; no other is written until it is replayed. 0 if there is none. */
    std::uint64_t m_pendingSequence = 0;
};

} // namespace sycamoretray
