#include "standins/server/lease_holder.h"

#include <charconv>
#include <utility>

namespace sycamoretray::standins
{

using nlohmann::json;

lease_holder::lease_holder(std::string bootId)
    : m_bootId(std::move(bootId))
{
}

lease_holder::reply lease_holder::handle(const json &request, long long now)
{
    const auto term = request.at("home_term").get<std::uint64_t>();
    reply result;
    if (term < m_term) {
        result.status = 409;
        result.content = { { "home_term", m_term }, { "boot_id", m_bootId } };
        return result;
    }
    acceptTerm(term);
    result.ownershipChanged = acceptOwnership(request);
    const std::uint64_t previousHeldTerm = m_heldTerm;
    const bool missing = m_ownership.version() < request.value("ownership_version", std::uint64_t(0));
    result.leaseExtended = !missing && extendLease(request, now);
    result.content = { { "boot_id", m_bootId },
                       { "home_term", m_term },
                       { "held_term", previousHeldTerm },
                       { "challenge", m_bootId + ":" + std::to_string(now) },
                       { "ownership_version", m_ownership.version() },
                       { "ownership_missing", missing } };
    return result;
}

void lease_holder::acceptTerm(std::uint64_t term)
{
    if (term > m_term) {
        m_term = term;
        m_leaseUntil = 0;
        m_ownership = {};
    }
}

bool lease_holder::acceptOwnership(const json &request)
{
    if (!request.contains("ownership") || request["ownership"].is_null()) {
        return false;
    }
    key_ownership given(request["ownership"]);
    if (given.version() <= m_ownership.version()) {
        return false;
    }
    m_ownership = std::move(given);
    return true;
}

bool lease_holder::extendLease(const json &request, long long now)
{
    const long long issued = challengeTime(request.value("challenge", ""), now);
    const long long until = issued + request.at("lease_ms").get<long long>() * 1000;
    if (issued == 0 || until <= now || until <= m_leaseUntil) {
        return false;
    }
    m_leaseUntil = until;
    m_heldTerm = m_term;
    return true;
}

long long lease_holder::challengeTime(const std::string &challenge, long long now) const
{
    const std::string prefix = m_bootId + ":";
    if (!challenge.starts_with(prefix)) {
        return 0;
    }
    long long issued = 0;
    std::from_chars(challenge.data() + prefix.size(), challenge.data() + challenge.size(), issued);
    return issued <= now ? issued : 0;
}

bool lease_holder::mayRun(std::uint64_t term, std::uint16_t slot, const std::string &key, bool divided, long long now) const
{
    return term == m_term && now < m_leaseUntil && (!divided || m_ownership.owns(slot, key));
}

const key_ownership &lease_holder::ownership() const
{
    return m_ownership;
}

const std::string &lease_holder::bootId() const
{
    return m_bootId;
}

std::uint64_t lease_holder::term() const
{
    return m_term;
}

long long lease_holder::leaseUntil() const
{
    return m_leaseUntil;
}

} // namespace sycamoretray::standins
