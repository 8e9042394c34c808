#include "controller/membership.h"

#include "records/record_builder.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/** The instance list may be out of date, so an instance that is missing there must also be unresponsive for this long. */
constexpr time_span unlistedTimeout = std::chrono::seconds(3);
/** An instance that is unresponsive for this long is declared left by a majority even if it is listed; it must restart to join again. */
constexpr time_span listedTimeout = std::chrono::seconds(30);

} // namespace

membership::membership(controller_context &context, const evidence_tracker &evidence, peer_monitor &peers, append_queue &queue)
    : m_context(context)
    , m_evidence(evidence)
    , m_peers(peers)
    , m_queue(queue)
{
}

void membership::handleList(const instance_list_result &list)
{
    m_listed.clear();
    std::set<incarnation_id> leaving;
    for (const listed_instance &instance : list.instances) {
        m_listed.insert(instance.incarnation);
        if (instance.leaving) {
            leaving.insert(instance.incarnation);
        }
    }
    m_listKnown = true;
    m_peers.setListedLeaving(std::move(leaving));
}

void membership::ownRecordReplayed(std::uint64_t sequence)
{
    if (sequence >= m_pendingSequence) {
        m_pendingSequence = 0;
    }
}

bool membership::writesSharedRecords() const
{
    if (!m_context.joined()) {
        return false;
    }
    const std::vector<incarnation_id> alive = m_peers.aliveInstances();
    return !alive.empty() && alive.front() == m_context.self();
}

void membership::tick()
{
    if (!m_context.caughtUp || m_pendingSequence != 0) {
        return;
    }
    if (m_context.state.findInstance(m_context.self()) == nullptr) {
        join();
        return;
    }
    if (!m_evidence.fresh() || !writesSharedRecords()) {
        return;
    }
    declareLeft();
    if (m_pendingSequence == 0) {
        changeConfirmers();
    }
}

void membership::join()
{
    if (m_context.stopping) {
        return;
    }
    pb::Record record;
    pb::InstanceJoined &body = *record.mutable_instance_joined();
    body.set_instance(m_context.settings.instance.value());
    body.set_zone(m_context.settings.zone.value());
    body.set_peer_address(m_context.settings.peerAddress.value());
    body.set_caller_address(m_context.settings.callerAddress.value());
    body.set_admin_address(m_context.settings.adminAddress.value());
    m_pendingSequence = m_queue.add(std::move(record));
}

bool membership::shouldDeclareLeft(const incarnation_id &incarnation, const instance_state &instance) const
{
    const time_span unresponsiveFor = m_peers.timeSinceMessage(incarnation);
    if (instance.hasLeft() || incarnation == m_context.self() || unresponsiveFor <= m_context.settings.timing.suspectAfter) {
        return false;
    }
    const auto &instances = m_context.state.instances();
    const bool replaced = std::any_of(instances.begin(), instances.end(), [&instance](const auto &entry) {
        return entry.second.instance == instance.instance && entry.second.joined > instance.joined;
    });
    return replaced || (m_listKnown && !m_listed.contains(incarnation) && unresponsiveFor > unlistedTimeout)
        || (unresponsiveFor > listedTimeout && m_peers.seesMajority());
}

void membership::declareLeft()
{
    for (const auto &[incarnation, instance] : m_context.state.instances()) {
        if (shouldDeclareLeft(incarnation, instance)) {
            m_context.event("instance_declared_left", { { "incarnation", incarnation.value() } });
            m_pendingSequence = m_queue.add(instanceLeftRecord(incarnation, "silent"));
        }
    }
}

void membership::changeConfirmers()
{
    const confirmer_set &confirmers = m_context.state.confirmers();
    if (!confirmers.pending()) {
        proposeChange(confirmers.changeNumber() + 1);
        return;
    }
    const bool known = confirmers.hasPreviousMajority([this, &confirmers](const incarnation_id &confirmer) {
        return m_peers.reported(confirmer) > confirmers.changeOffset();
    });
    if (!known) {
        m_peers.probeSoon();
        return;
    }
    // The next change may be in the same batch, because the record that settles this one precedes it in the log.
    m_pendingSequence = m_queue.add(confirmersSettledRecord(confirmers.changeNumber()));
    proposeChange(confirmers.changeNumber() + 1);
}

bool membership::proposeChange(std::uint64_t number)
{
    const confirmer_set &confirmers = m_context.state.confirmers();
    for (const incarnation_id &member : confirmers.members()) {
        const instance_state *instance = m_context.state.findInstance(member);
        if ((instance == nullptr || instance->hasLeft()) && confirmers.members().size() > 1) {
            m_pendingSequence = m_queue.add(confirmersChangedRecord(number, member, false));
            return true;
        }
    }
    // A restarted instance becomes a confirmer only after its earlier incarnation was removed. With both, the number of
    // confirmers would be even, and one more failure of the same instance would leave no majority.
    std::set<instance_id> confirmerInstances;
    for (const incarnation_id &member : confirmers.members()) {
        const instance_state *instance = m_context.state.findInstance(member);
        confirmerInstances.insert(instance != nullptr ? instance->instance : instance_id());
    }
    for (const auto &[incarnation, instance] : m_context.state.instances()) {
        const bool wanted = confirmers.members().size() < confirmer_set::maxSize && !confirmerInstances.contains(instance.instance);
        if (wanted && m_peers.available(incarnation)) {
            m_pendingSequence = m_queue.add(confirmersChangedRecord(number, incarnation, true));
            return true;
        }
    }
    return false;
}

} // namespace sycamoretray
