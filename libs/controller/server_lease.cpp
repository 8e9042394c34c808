#include "controller/server_lease.h"

#include "records/record_builder.h"
#include "routing/hash_slots.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/** A server that was lost must answer for this long before it is marked up, so that an intermittent failure does not move keys. */
constexpr time_span returnDelay = std::chrono::seconds(1);
/** How long a server must report that it drains, or no longer drains, before this is recorded. */
constexpr time_span drainDelay = std::chrono::milliseconds(200);
constexpr time_span undrainDelay = std::chrono::seconds(2);
constexpr const char *drainedByServer = "server";

} // namespace

server_lease::server_lease(lease_services services, server_id server, home_term term)
    : m_services(services)
    , m_server(std::move(server))
    , m_term(term)
    , m_machine(services.context.state.servers().at(m_server).up)
    , m_claimedAt(services.context.now)
    , m_lastContact(services.context.now)
    , m_answeringSince(services.context.now)
{
    refreshOwnership();
}

controller_context &server_lease::context() const noexcept
{
    return m_services.context;
}

const server_state &server_lease::state() const
{
    return context().state.servers().at(m_server);
}

const server_id &server_lease::server() const noexcept
{
    return m_server;
}

home_term server_lease::term() const noexcept
{
    return m_term;
}

lease_phase server_lease::phase() const noexcept
{
    return m_machine.phase();
}

time_span server_lease::timeSinceReply() const noexcept
{
    return context().now - m_lastContact;
}

const std::bitset<hashSlotCount> &server_lease::slotsInForce() const noexcept
{
    return m_slotsInForce;
}

bool server_lease::leaseMayBeInForce() const noexcept
{
    return context().now < m_leaseEndBound;
}

monotonic_time server_lease::leaseEndBound() const noexcept
{
    return m_leaseEndBound;
}

void server_lease::excludePause(time_span gap)
{
    m_lastContact = std::min(context().now, m_lastContact + gap);
}

bool server_lease::ownsAnything() const
{
    const slot_table *table = context().state.findTable(state().service);
    return table != nullptr && table->ownsAnything(m_server);
}

ownership_set server_lease::currentOwnership() const
{
    ownership_set result;
    const slot_table *table = context().state.findTable(state().service);
    if (table == nullptr) {
        return result;
    }
    for (const hash_slot slot : table->slotsOf(m_server)) {
        if (!m_withheldSlots.contains(slot)) {
            result.slots.push_back(slot);
        }
    }
    for (const auto &[key, exception] : table->exceptions()) {
        if (exception.server == m_server && !m_withheldKeys.contains(key)) {
            result.extraKeys.push_back(key);
        } else if (exception.server != m_server && table->ownerOf(slotOfKey(key)) == m_server) {
            result.exceptKeys.push_back(key);
        }
    }
    for (const std::string &key : m_withheldKeys) {
        if (!table->exceptions().contains(key) && table->ownerOf(slotOfKey(key)) == m_server) {
            result.exceptKeys.push_back(key);
        }
    }
    std::sort(result.exceptKeys.begin(), result.exceptKeys.end());
    return result;
}

void server_lease::refreshOwnership()
{
    if (context().settings.faults.tokenFromMemory && m_ownership != nullptr && !m_ownership->slots.empty()) {
        return;
    }
    ownership_set next = currentOwnership();
    if (m_ownership != nullptr && next.slots == m_ownership->slots && next.extraKeys == m_ownership->extraKeys && next.exceptKeys == m_ownership->exceptKeys) {
        return;
    }
    next.version = m_ownership == nullptr ? 1 : m_ownership->version + 1;
    m_ownership = std::make_shared<const ownership_set>(std::move(next));
    m_sendAtOnce = true;
}

void server_lease::withhold(const std::vector<hash_slot> &slots, const std::set<std::string> &keys)
{
    m_withheldSlots.insert(slots.begin(), slots.end());
    m_withheldKeys.insert(keys.begin(), keys.end());
    refreshOwnership();
}

void server_lease::restore()
{
    m_withheldSlots.clear();
    m_withheldKeys.clear();
    refreshOwnership();
}

bool server_lease::ownershipAcknowledged() const noexcept
{
    return m_acknowledgedVersion == m_ownership->version || context().settings.faults.tokenFromMemory;
}

void server_lease::stateChanged()
{
    const bool up = state().up;
    if (up && phase() == lease_phase::down) {
        m_machine.process(lease_event::marked_up);
        m_exclusivityEstablished = true;
        m_sendAtOnce = true;
    }
    if (up) {
        m_upSequence.reset();
    } else if (phase() != lease_phase::down) {
        m_machine.process(lease_event::marked_lost);
        m_lossSequence.reset();
        m_answeringSince = context().now;
    }
    refreshOwnership();
}

bool server_lease::mayGrant() const
{
    const bool granting = phase() == lease_phase::granting || phase() == lease_phase::down;
    return granting && !m_fenced && !m_challenge.empty() && m_services.evidence.fresh() && m_services.evidence.newest() >= m_evidenceSince;
}

bool server_lease::sendDue() const
{
    const monotonic_time now = context().now;
    const ownership_timing &timing = context().settings.timing;
    if (m_sendAtOnce) {
        return mayGrant() || m_outstanding.empty();
    }
    return now - m_lastSent >= timing.renewInterval && m_outstanding.empty();
}

void server_lease::attachOwnership(send_lease &request)
{
    request.ownershipVersion = m_ownership->version;
    if (m_acknowledgedVersion != m_ownership->version) {
        request.ownership = m_ownership;
    }
    // Until the server acknowledges the new set, it may still act on any earlier one.
    if (!leaseMayBeInForce()) {
        m_slotsInForce.reset();
    }
    for (const hash_slot slot : m_ownership->slots) {
        m_slotsInForce.set(slot.value());
    }
}

void server_lease::send()
{
    const ownership_timing &timing = context().settings.timing;
    send_lease request;
    request.operation = context().newOperation();
    request.server = m_server;
    request.address = state().endpoint.address;
    request.term = m_term;
    request.length = timing.leaseLength;
    request.timeout = 2 * timing.renewInterval;
    sent_request sent;
    sent.sent = context().now;
    if (mayGrant()) {
        request.challenge = m_challenge;
        attachOwnership(request);
        sent.challengeSent = m_challengeSent;
        sent.ownershipVersion = m_ownership->version;
        sent.leaseEndBound = m_challengeReceived + timing.leaseLength + context().driftMargin();
        // The server may get the lease although its reply is lost, so the bound applies from now on.
        if (!context().settings.faults.leaseFromReplyTime) {
            m_leaseEndBound = std::max(m_leaseEndBound, sent.leaseEndBound);
        }
    }
    m_sendAtOnce = false;
    m_lastSent = context().now;
    m_outstanding.emplace(request.operation, sent);
    context().add(std::move(request));
}

void server_lease::handleReply(const lease_reply &reply)
{
    const auto found = m_outstanding.find(reply.operation);
    if (found == m_outstanding.end()) {
        return;
    }
    const sent_request request = found->second;
    m_outstanding.erase(found);
    if (context().now - m_lastContact > context().settings.timing.serverLostAfter / 2) {
        m_answeringSince = context().now;
    }
    m_lastContact = context().now;
    m_fenced = !reply.accepted;
    if (m_fenced || request.sent < m_challengeSent) {
        return;
    }
    if (m_lossSequence && m_services.queue.cancel(*m_lossSequence)) {
        m_lossSequence.reset();
        m_machine.process(lease_event::loss_cancelled);
    }
    updateBootId(reply);
    const bool firstChallenge = m_challenge.empty();
    m_challenge = reply.challenge;
    m_challengeSent = request.sent;
    m_challengeReceived = context().now;
    checkContact(reply);
    recordGrant(request, reply);
    updateDraining(reply);
    m_sendAtOnce = m_sendAtOnce || firstChallenge;
}

void server_lease::updateBootId(const lease_reply &reply)
{
    if (reply.bootId == m_bootId) {
        return;
    }
    const bool restarted = !m_bootId.empty();
    m_bootId = reply.bootId;
    m_acknowledgedVersion = 0;
    m_challenge.clear();
    if (!restarted) {
        return;
    }
    context().event("server_restarted", { { "server", m_server.value() }, { "boot", reply.bootId } });
    // An earlier home may still grant leases to the new process, unless the evidence of this instance is newer than the process.
    m_evidenceSince = context().now;
    if (phase() == lease_phase::granting && state().endpoint.checksTokens && leaseMayBeInForce() && m_slotsInForce.any()) {
        m_machine.process(lease_event::boot_changed);
        m_waitUntil = m_leaseEndBound;
        setValidUntil(context().now);
    }
}

void server_lease::checkContact(const lease_reply &reply)
{
    if (phase() != lease_phase::contacting) {
        return;
    }
    const bool noInterveningTerm = reply.heldTerm == state().previousTerm || reply.heldTerm == m_term;
    if (!state().endpoint.checksTokens || !ownsAnything() || noInterveningTerm || takeoverWaitOver()) {
        if (leaseMayBeInForce() && reply.heldTerm != m_term && state().endpoint.checksTokens && ownsAnything()) {
            return;
        }
        m_machine.process(lease_event::no_other_lease);
        m_exclusivityEstablished = true;
        m_sendAtOnce = true;
        return;
    }
    context().event("lease_wait", { { "server", m_server.value() }, { "held_term", std::to_string(reply.heldTerm.value()) } });
    m_machine.process(lease_event::other_lease_possible);
}

void server_lease::recordGrant(const sent_request &request, const lease_reply &reply)
{
    if (!request.challengeSent) {
        return;
    }
    m_leaseEndBound = std::max(m_leaseEndBound, request.leaseEndBound);
    if (reply.ownershipMissing) {
        m_acknowledgedVersion = 0;
        m_sendAtOnce = true;
        return;
    }
    if (reply.ownershipVersion == m_ownership->version && m_acknowledgedVersion != reply.ownershipVersion) {
        m_acknowledgedVersion = reply.ownershipVersion;
        m_slotsInForce.reset();
        for (const hash_slot slot : m_ownership->slots) {
            m_slotsInForce.set(slot.value());
        }
    }
    monotonic_time until = *request.challengeSent + context().settings.timing.leaseLength - context().driftMargin();
    if (!state().endpoint.checksTokens) {
        until = std::min(until, m_services.evidence.validUntil());
    }
    if (phase() == lease_phase::granting || phase() == lease_phase::down) {
        setValidUntil(std::max(m_validUntil, until));
    }
}

void server_lease::setValidUntil(monotonic_time until)
{
    if (until != m_validUntil) {
        m_validUntil = until;
        context().add(dispatch_valid_until{ m_server, m_term, until });
    }
}

void server_lease::updateDraining(const lease_reply &reply)
{
    const server_state &current = state();
    const bool mayChange = reply.draining ? !current.draining : current.draining && current.drainedBy == drainedByServer;
    if (!mayChange) {
        m_drainReportSince.reset();
        return;
    }
    if (!m_drainReportSince) {
        m_drainReportSince = context().now;
    }
    if (context().now - *m_drainReportSince >= (reply.draining ? drainDelay : undrainDelay)) {
        m_services.queue.add(endpointDrainRecord(m_server, reply.draining, drainedByServer));
        // Leaves the record time to be replayed before another one is written.
        m_drainReportSince = context().now + undrainDelay;
    }
}

void server_lease::handleFailure(const lease_failed &failure)
{
    m_outstanding.erase(failure.operation);
}

bool server_lease::needsMajority() const
{
    const bool undecided = phase() == lease_phase::contacting || phase() == lease_phase::waiting || !state().endpoint.checksTokens;
    return undecided && !m_majorityReachedAt && state().previousTerm.value() != 0;
}

void server_lease::checkTakeoverMajority()
{
    if (m_majorityReachedAt || state().previousTerm.value() == 0) {
        return;
    }
    const bool majority = context().state.confirmers().hasMajority([this](const incarnation_id &confirmer) {
        return m_services.peers.reported(confirmer).value() > m_term.value();
    });
    if (majority) {
        m_majorityReachedAt = context().now;
    }
}

bool server_lease::takeoverWaitOver() const
{
    if (context().settings.faults.takeoverWithoutWait || state().previousTerm.value() == 0) {
        return true;
    }
    const ownership_timing &timing = context().settings.timing;
    const time_span margin = state().endpoint.checksTokens ? time_span(0) : timing.dispatchMargin;
    return m_majorityReachedAt && context().now >= *m_majorityReachedAt + timing.evidenceAge + timing.leaseLength + 2 * context().driftMargin() + margin;
}

void server_lease::endWait()
{
    if (phase() != lease_phase::waiting) {
        return;
    }
    const bool over = m_waitUntil ? context().now >= *m_waitUntil : takeoverWaitOver();
    if (over && timeSinceReply() < context().settings.timing.serverLostAfter) {
        m_waitUntil.reset();
        m_machine.process(lease_event::wait_over);
        m_exclusivityEstablished = true;
        m_sendAtOnce = true;
    }
}

bool server_lease::mayMoveSlots() const
{
    return phase() == lease_phase::granting && !m_fenced && (state().endpoint.checksTokens || takeoverWaitOver());
}

bool server_lease::lossAllowed() const
{
    const ownership_timing &timing = context().settings.timing;
    if (!state().up || m_lossSequence || timeSinceReply() < timing.serverLostAfter || context().now < m_leaseEndBound) {
        return false;
    }
    // Without another eligible server the slots cannot move, so the loss would change nothing.
    if (ownsAnything() && !context().state.hasOtherEligible(m_server) && !state().removed) {
        return false;
    }
    return (m_exclusivityEstablished && state().endpoint.checksTokens) || !ownsAnything() || takeoverWaitOver();
}

void server_lease::decideLoss(const std::vector<server_id> &avoid)
{
    if (!lossAllowed() || !m_services.evidence.fresh()) {
        return;
    }
    std::vector<server_id> others;
    for (const server_id &other : avoid) {
        const server_state *entry = context().state.findServer(other);
        if (other != m_server && entry != nullptr && entry->service == state().service) {
            others.push_back(other);
        }
    }
    m_machine.process(lease_event::loss_decided);
    setValidUntil(context().now);
    context().event("server_silent", { { "server", m_server.value() }, { "silence_us", std::to_string(timeSinceReply().count()) } });
    m_lossSequence = m_services.queue.add(serverLostRecord(m_server, m_term, others));
}

void server_lease::markUp()
{
    const bool answering = !m_challenge.empty() && timeSinceReply() < context().settings.timing.serverLostAfter / 2;
    if (state().up || m_upSequence || !answering || state().removed) {
        return;
    }
    if (!state().wasLost || context().now - m_answeringSince >= returnDelay) {
        m_upSequence = m_services.queue.add(serverUpRecord(m_server, m_term));
    }
}

void server_lease::tick(const std::vector<server_id> &avoid)
{
    const monotonic_time expired = context().now - 2 * context().settings.timing.renewInterval;
    std::erase_if(m_outstanding, [expired](const auto &entry) {
        return entry.second.sent < expired;
    });
    checkTakeoverMajority();
    endWait();
    decideLoss(avoid);
    markUp();
    if (sendDue()) {
        send();
    }
}

} // namespace sycamoretray
