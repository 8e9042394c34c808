#include "dispatch/crash_suspects.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

constexpr std::size_t maximumSuspects = 4096;

} // namespace

crash_suspects::crash_suspects(std::uint32_t limit, time_span refusal)
    : m_limit(limit)
    , m_refusal(refusal)
{
}

crash_suspects::suspect &crash_suspects::obtain(request_fingerprint fingerprint, monotonic_time now, time_span refusedFor)
{
    dropLapsed(now);
    auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end()) {
        if (m_suspects.size() >= maximumSuspects) {
            clear(m_lapses.begin()->second);
        }
        found = m_suspects.emplace(fingerprint, suspect{ 0, m_lapses.end() }).first;
    }
    monotonic_time lapse = now + refusedFor;
    if (found->second.lapse != m_lapses.end()) {
        lapse = std::max(lapse, found->second.lapse->first);
        m_lapses.erase(found->second.lapse);
    }
    found->second.lapse = m_lapses.emplace(lapse, fingerprint);
    return found->second;
}

std::uint32_t crash_suspects::countCrash(request_fingerprint fingerprint, monotonic_time now)
{
    return ++obtain(fingerprint, now, m_refusal).crashes;
}

void crash_suspects::merge(request_fingerprint fingerprint, std::uint32_t crashes, time_span refusedFor, monotonic_time now)
{
    if (crashes == 0) {
        return;
    }
    suspect &entry = obtain(fingerprint, now, std::min(refusedFor, m_refusal));
    entry.crashes = std::max(entry.crashes, crashes);
}

void crash_suspects::clear(request_fingerprint fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end()) {
        m_lapses.erase(found->second.lapse);
        m_suspects.erase(found);
    }
}

bool crash_suspects::isSuspect(request_fingerprint fingerprint, monotonic_time now) const
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && found->second.lapse->first > now;
}

bool crash_suspects::isRefused(request_fingerprint fingerprint, monotonic_time now) const
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && found->second.lapse->first > now && found->second.crashes >= m_limit;
}

std::size_t crash_suspects::size() const noexcept
{
    return m_suspects.size();
}

void crash_suspects::dropLapsed(monotonic_time now)
{
    while (!m_lapses.empty() && m_lapses.begin()->first <= now) {
        m_suspects.erase(m_lapses.begin()->second);
        m_lapses.erase(m_lapses.begin());
    }
}

} // namespace sycamoretray
