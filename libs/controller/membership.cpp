#include "controller/membership.h"

#include "records/record_builder.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/** The instance list lags, so an instance that it no longer shows must also be silent for a while. */
constexpr time_span unlistedSilence = std::chrono::seconds(3);
/** Past this silence a majority declares an instance left whatever the list says; it must restart to return. */
constexpr time_span listedSilence = std::chrono::seconds(30);

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

void membership::ownRecordSeen(std::uint64_t sequence)
{
    if (sequence >= m_pending) {
        m_pending = 0;
    }
}

bool membership::coordinates() const
{
    if (!m_context.joined()) {
        return false;
    }
    const std::vector<incarnation_id> alive = m_peers.aliveInstances();
    return !alive.empty() && alive.front() == m_context.self();
}

void membership::tick()
{
    if (!m_context.caughtUp || m_pending != 0) {
        return;
    }
    if (m_context.state.findInstance(m_context.self()) == nullptr) {
        join();
        return;
    }
    if (!m_evidence.fresh() || !coordinates()) {
        return;
    }
    declareLeft();
    if (m_pending == 0) {
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
    m_pending = m_queue.add(std::move(record));
}

bool membership::shouldDeclareLeft(const incarnation_id &incarnation, const instance_state &instance) const
{
    const time_span silence = m_peers.silence(incarnation);
    if (instance.hasLeft() || incarnation == m_context.self() || silence <= m_context.settings.timing.suspectAfter) {
        return false;
    }
    const auto &instances = m_context.state.instances();
    const bool replaced = std::any_of(instances.begin(), instances.end(), [&instance](const auto &entry) {
        return entry.second.instance == instance.instance && entry.second.joined > instance.joined;
    });
    return replaced || (m_listKnown && !m_listed.contains(incarnation) && silence > unlistedSilence) || (silence > listedSilence && m_peers.seesMajority());
}

void membership::declareLeft()
{
    for (const auto &[incarnation, instance] : m_context.state.instances()) {
        if (shouldDeclareLeft(incarnation, instance)) {
            m_context.event("instance_declared_left", { { "incarnation", incarnation.value() } });
            m_pending = m_queue.add(instanceLeftRecord(incarnation, "silent"));
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
    // The next change may follow in the same batch, because settling comes first in the log's order.
    m_pending = m_queue.add(confirmersSettledRecord(confirmers.changeNumber()));
    proposeChange(confirmers.changeNumber() + 1);
}

bool membership::proposeChange(std::uint64_t number)
{
    const confirmer_set &confirmers = m_context.state.confirmers();
    for (const incarnation_id &member : confirmers.members()) {
        const instance_state *instance = m_context.state.findInstance(member);
        if ((instance == nullptr || instance->hasLeft()) && confirmers.members().size() > 1) {
            m_pending = m_queue.add(confirmersChangedRecord(number, member, false));
            return true;
        }
    }
    // A restarted instance counts once its earlier incarnation was removed. Both together would make an even number, of which one
    // more failure of the same instance takes the majority away.
    std::set<instance_id> present;
    for (const incarnation_id &member : confirmers.members()) {
        const instance_state *instance = m_context.state.findInstance(member);
        present.insert(instance != nullptr ? instance->instance : instance_id());
    }
    for (const auto &[incarnation, instance] : m_context.state.instances()) {
        const bool wanted = confirmers.members().size() < confirmer_set::maximumSize && !present.contains(instance.instance);
        if (wanted && m_peers.candidate(incarnation)) {
            m_pending = m_queue.add(confirmersChangedRecord(number, incarnation, true));
            return true;
        }
    }
    return false;
}

} // namespace sycamoretray
