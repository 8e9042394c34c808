#include "dispatch/crash_suspects.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

constexpr std::size_t maxSuspects = 4096;

} // namespace

crash_suspects::crash_suspects(std::uint32_t limit, time_span refusalPeriod)
    : m_limit(limit)
    , m_refusalPeriod(refusalPeriod)
{
}

crash_suspects::suspect &crash_suspects::findOrInsert(request_fingerprint fingerprint, monotonic_time now, time_span refusedFor)
{
    removeExpired(now);
    auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end()) {
        if (m_suspects.size() >= maxSuspects) {
            clear(m_expiries.begin()->second);
        }
        found = m_suspects.emplace(fingerprint, suspect{ 0, m_expiries.end() }).first;
    }
    monotonic_time expiry = now + refusedFor;
    if (found->second.expiry != m_expiries.end()) {
        expiry = std::max(expiry, found->second.expiry->first);
        m_expiries.erase(found->second.expiry);
    }
    found->second.expiry = m_expiries.emplace(expiry, fingerprint);
    return found->second;
}

std::uint32_t crash_suspects::countCrash(request_fingerprint fingerprint, monotonic_time now)
{
    return ++findOrInsert(fingerprint, now, m_refusalPeriod).crashes;
}

void crash_suspects::merge(request_fingerprint fingerprint, std::uint32_t crashes, time_span refusedFor, monotonic_time now)
{
    if (crashes == 0) {
        return;
    }
    suspect &entry = findOrInsert(fingerprint, now, std::min(refusedFor, m_refusalPeriod));
    entry.crashes = std::max(entry.crashes, crashes);
}

void crash_suspects::clear(request_fingerprint fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end()) {
        m_expiries.erase(found->second.expiry);
        m_suspects.erase(found);
    }
}

bool crash_suspects::isSuspect(request_fingerprint fingerprint, monotonic_time now) const
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && found->second.expiry->first > now;
}

bool crash_suspects::isRefused(request_fingerprint fingerprint, monotonic_time now) const
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && found->second.expiry->first > now && found->second.crashes >= m_limit;
}

std::size_t crash_suspects::size() const noexcept
{
    return m_suspects.size();
}

void crash_suspects::removeExpired(monotonic_time now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        m_suspects.erase(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
    }
}

} // namespace sycamoretray
