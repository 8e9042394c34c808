#include "controller/peer_monitor.h"

#include "control_state/invariant.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/** Replies to older probes are too old to be evidence; 100 probes at 20 ms cover 2 s. */
constexpr std::size_t maxRememberedProbes = 100;
/** Each reply causes an event, so without this limit probes would be sent as fast as replies arrive. */
constexpr time_span minProbeInterval = std::chrono::milliseconds(20);

} // namespace

peer_monitor::peer_monitor(controller_context &context, evidence_tracker &evidence, log_follower &follower)
    : m_context(context)
    , m_evidence(evidence)
    , m_follower(follower)
{
}

peer_monitor::peer &peer_monitor::peerOf(const incarnation_id &incarnation)
{
    return m_peers.try_emplace(incarnation, peer{ m_context.now, log_offset(), false }).first->second;
}

void peer_monitor::probeSoon()
{
    m_nextProbe = std::min(m_nextProbe, m_lastProbe + minProbeInterval);
}

void peer_monitor::tick()
{
    for (const auto &[incarnation, instance] : m_context.state.instances()) {
        if (!instance.hasLeft()) {
            peerOf(incarnation);
        }
    }
    std::erase_if(m_peers, [this](const auto &entry) {
        const instance_state *instance = m_context.state.findInstance(entry.first);
        return instance == nullptr || (instance->hasLeft() && !m_context.state.confirmers().contains(entry.first));
    });
    if (m_context.now < m_nextProbe || !m_context.joined()) {
        return;
    }
    m_lastProbe = m_context.now;
    m_nextProbe = m_context.now + m_context.settings.timing.probeInterval;
    m_sent.emplace_back(++m_sequence, m_context.now);
    if (m_sent.size() > maxRememberedProbes) {
        m_sent.pop_front();
    }
    pb::PeerMessage message;
    message.mutable_probe()->set_sequence(m_sequence);
    message.mutable_probe()->set_next_offset(m_context.state.position().value());
    message.mutable_probe()->set_state_digest(m_context.state.digest());
    message.mutable_probe()->set_leaving(m_context.stopping);
    for (const auto &[incarnation, peer] : m_peers) {
        m_context.sendPeer(incarnation, message);
    }
}

void peer_monitor::recordReport(const incarnation_id &from, std::uint64_t nextOffset, const std::string &digest)
{
    peer &sender = peerOf(from);
    sender.reported = std::max(sender.reported, log_offset(nextOffset));
    if (log_offset(nextOffset) == m_context.state.position() && m_context.caughtUp) {
        requireInvariant(digest == m_context.state.digest(), "equal digest at equal offset", std::to_string(nextOffset));
    }
}

void peer_monitor::handleProbe(const incarnation_id &from, const pb::Probe &probe)
{
    recordReport(from, probe.next_offset(), probe.state_digest());
    peerOf(from).leaving = probe.leaving();
    pb::PeerMessage message;
    pb::ProbeReply &reply = *message.mutable_probe_reply();
    reply.set_sequence(probe.sequence());
    reply.set_next_offset(m_context.state.position().value());
    reply.set_state_digest(m_context.state.digest());
    if (log_offset(probe.next_offset()) < m_context.state.position()) {
        const std::vector<log_entry> missing = m_follower.recentFrom(log_offset(probe.next_offset()));
        reply.set_missing_unavailable(missing.empty());
        for (const log_entry &entry : missing) {
            pb::LogEntry &out = *reply.add_missing();
            out.set_offset(entry.offset.value());
            out.set_data(entry.data);
        }
    }
    m_context.sendPeer(from, message);
}

void peer_monitor::handleProbeReply(const incarnation_id &from, const pb::ProbeReply &reply)
{
    std::vector<log_entry> missing;
    for (const pb::LogEntry &entry : reply.missing()) {
        missing.push_back(log_entry{ log_offset(entry.offset()), entry.data() });
    }
    m_follower.applyRelayed(missing);
    recordReport(from, reply.next_offset(), reply.state_digest());
    const auto sent = std::find_if(m_sent.begin(), m_sent.end(), [&reply](const auto &entry) {
        return entry.first == reply.sequence();
    });
    if (sent != m_sent.end() && log_offset(reply.next_offset()) <= m_context.state.position()) {
        m_evidence.addConfirmation(from, sent->second);
    }
}

void peer_monitor::messageReceived(const incarnation_id &from)
{
    if (m_context.state.findInstance(from) != nullptr) {
        peerOf(from).lastHeard = m_context.now;
    }
}

void peer_monitor::excludePause(time_span gap)
{
    for (auto &[incarnation, peer] : m_peers) {
        peer.lastHeard = std::min(m_context.now, peer.lastHeard + gap);
    }
}

time_span peer_monitor::timeSinceMessage(const incarnation_id &incarnation) const
{
    const auto found = m_peers.find(incarnation);
    return found == m_peers.end() || incarnation == m_context.self() ? time_span(0) : m_context.now - found->second.lastHeard;
}

bool peer_monitor::alive(const incarnation_id &incarnation) const
{
    const instance_state *instance = m_context.state.findInstance(incarnation);
    return instance != nullptr && !instance->hasLeft() && timeSinceMessage(incarnation) <= m_context.settings.timing.suspectAfter;
}

bool peer_monitor::available(const incarnation_id &incarnation) const
{
    if (incarnation == m_context.self()) {
        return m_context.joined() && !m_context.stopping;
    }
    const auto found = m_peers.find(incarnation);
    return alive(incarnation) && !m_listedLeaving.contains(incarnation) && (found == m_peers.end() || !found->second.leaving);
}

bool peer_monitor::seesMajority() const
{
    const confirmer_set &confirmers = m_context.state.confirmers();
    return confirmers.members().empty() || confirmers.hasMajority([this](const incarnation_id &confirmer) {
        return confirmer == m_context.self() || alive(confirmer);
    });
}

log_offset peer_monitor::reported(const incarnation_id &incarnation) const
{
    if (incarnation == m_context.self()) {
        return m_context.state.position();
    }
    const auto found = m_peers.find(incarnation);
    return found == m_peers.end() ? log_offset() : found->second.reported;
}

std::vector<incarnation_id> peer_monitor::aliveInstances() const
{
    std::vector<incarnation_id> result;
    for (const auto &[incarnation, instance] : m_context.state.instances()) {
        if (alive(incarnation)) {
            result.push_back(incarnation);
        }
    }
    return result;
}

void peer_monitor::setListedLeaving(std::set<incarnation_id> leaving)
{
    m_listedLeaving = std::move(leaving);
}

void peer_monitor::sendRecordToAll(log_offset offset, const std::string &data)
{
    pb::PeerMessage message;
    message.mutable_record_notice()->mutable_entry()->set_offset(offset.value());
    message.mutable_record_notice()->mutable_entry()->set_data(data);
    for (const auto &[incarnation, peer] : m_peers) {
        m_context.sendPeer(incarnation, message);
    }
}

} // namespace sycamoretray
