#include "fake_server.h"

#include "routing/hash_slots.h"

#include <algorithm>

namespace sycamoretray::harness
{

fake_server::fake_server(server_id server, std::string bootId, drifting_clock clock)
    : m_server(std::move(server))
    , m_bootId(std::move(bootId))
    , m_clock(clock)
{
}

lease_reply fake_server::handleLease(const send_lease &request, monotonic_time trueNow)
{
    lease_reply reply;
    reply.server = m_server;
    reply.operation = request.operation;
    reply.bootId = m_bootId;
    if (request.term < m_highestTerm) {
        reply.accepted = false;
        reply.highestTerm = m_highestTerm;
        return reply;
    }
    if (request.term > m_highestTerm) {
        m_highestTerm = request.term;
        m_leaseEnd = {};
        m_ownershipVersion = 0;
        m_slots.reset();
        m_extraKeys.clear();
        m_exceptKeys.clear();
    }
    if (request.ownership && request.ownership->version >= m_ownershipVersion) {
        replaceOwnership(*request.ownership);
    }
    const monotonic_time now = m_clock.local(trueNow);
    reply.heldTerm = m_heldTerm;
    reply.ownershipMissing = m_ownershipVersion != request.ownershipVersion;
    const std::optional<monotonic_time> issued = challengeTime(request.challenge);
    if (issued && !reply.ownershipMissing && *issued + request.length > now) {
        m_leaseEnd = std::max(m_leaseEnd, *issued + request.length);
        m_heldTerm = request.term;
    }
    reply.highestTerm = m_highestTerm;
    reply.ownershipVersion = m_ownershipVersion;
    reply.challenge = m_bootId + ":" + std::to_string(now.time_since_epoch().count());
    return reply;
}

void fake_server::replaceOwnership(const ownership_set &ownership)
{
    m_ownershipVersion = ownership.version;
    m_slots.reset();
    for (const hash_slot slot : ownership.slots) {
        m_slots.set(slot.value());
    }
    m_extraKeys = { ownership.extraKeys.begin(), ownership.extraKeys.end() };
    m_exceptKeys = { ownership.exceptKeys.begin(), ownership.exceptKeys.end() };
}

std::optional<monotonic_time> fake_server::challengeTime(const std::string &challenge) const
{
    const std::string prefix = m_bootId + ":";
    if (!challenge.starts_with(prefix)) {
        return std::nullopt;
    }
    return monotonic_time(time_span(std::stoll(challenge.substr(prefix.size()))));
}

bool fake_server::holdsLease(monotonic_time trueNow) const
{
    return m_clock.local(trueNow) < m_leaseEnd;
}

const slot_set &fake_server::slots() const
{
    return m_slots;
}

bool fake_server::serves(std::string_view key) const
{
    return m_extraKeys.contains(key) || (m_slots.test(slotOfKey(key).value()) && !m_exceptKeys.contains(key));
}

std::optional<std::string> fake_server::commonKey(const fake_server &other) const
{
    const slot_set common = m_slots & other.m_slots;
    if (common.any()) {
        return "slot " + std::to_string(common._Find_first());
    }
    for (const fake_server *each : { this, &other }) {
        for (const std::string &key : each->m_extraKeys) {
            if (serves(key) && other.serves(key)) {
                return "key " + key;
            }
        }
    }
    return std::nullopt;
}

const server_id &fake_server::server() const
{
    return m_server;
}

const std::string &fake_server::bootId() const
{
    return m_bootId;
}

home_term fake_server::term() const
{
    return m_highestTerm;
}

const drifting_clock &fake_server::clock() const
{
    return m_clock;
}

} // namespace sycamoretray::harness
