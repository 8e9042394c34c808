#include "gateway/endpoint_isolation_detector.h"

#include <algorithm>
#include <tuple>

namespace sycamoretray
{

namespace
{

// Without any answer for this time, with requests open, the instance may be isolated: a multiple of what is typical of it, within limits.
constexpr time_span minSilence = std::chrono::milliseconds(200);
constexpr time_span maxSilence = std::chrono::milliseconds(1000);
constexpr int typicalSilences = 2;
// Weight of each answer in the typical time.
constexpr int silenceWeight = 8;
// A suspicion costs one connection. If it does not open in this time, or fails, more endpoints are probed.
constexpr std::size_t firstProbes = 1;
constexpr std::size_t furtherProbes = 6;
constexpr time_span firstProbesTime = std::chrono::milliseconds(100);
// Rounds of probes that have to fail, the first and a further one.
constexpr std::size_t roundsNeeded = 2;
// Endpoints that have to refuse connections or leave them unanswered, unless fewer are registered.
constexpr std::size_t failedEndpointsNeeded = 6;
constexpr std::size_t probesWhileIsolated = 4;
constexpr time_span isolatedProbeInterval = std::chrono::milliseconds(250);
// For the end of the isolation, this many endpoints have to accept a connection at about the same time, or one endpoint again after some time.
constexpr std::size_t connectedEndpointsNeeded = 2;
constexpr time_span reconnectionTime = std::chrono::milliseconds(250);
constexpr time_span connectedWindow = std::chrono::seconds(1);
// Time without suspicion after one was refuted; doubled once if there was still no answer, for instances with few and long requests.
constexpr time_span shortPause = std::chrono::milliseconds(500);
constexpr time_span longPause = std::chrono::seconds(1);

} // namespace

void endpoint_isolation_detector::setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints, monotonic_time now)
{
    std::map<network_address, candidate> candidates;
    for (const auto &[id, endpoint] : endpoints) {
        const network_address &address = endpoint.entry.incarnation.address;
        candidate &each = candidates[address];
        const auto known = m_candidates.find(address);
        if (known != m_candidates.end() && known->second.startedAtMs == endpoint.entry.incarnation.startedAtMs) {
            each = known->second;
        } else {
            m_failed.erase(address);
            m_lost.erase(address);
        }
        each.startedAtMs = endpoint.entry.incarnation.startedAtMs;
        each.service = endpoint.entry.service;
        each.zone = endpoint.entry.zone;
    }
    m_candidates = std::move(candidates);
    const auto isUnknown = [this](const network_address &address) {
        return !m_candidates.contains(address);
    };
    std::erase_if(m_failed, isUnknown);
    std::erase_if(m_lost, isUnknown);
    if (m_candidates.empty()) {
        refute(now);
    }
}

void endpoint_isolation_detector::sent(const network_address &endpoint, monotonic_time now)
{
    open_requests &open = m_open[endpoint];
    if (open.count++ == 0) {
        open.silentSince = now;
    }
}

void endpoint_isolation_detector::answered(const network_address &endpoint, monotonic_time now)
{
    if (const monotonic_time since = silentSince(); since != monotonic_time::max() && !isSuspicious()) {
        // Longer ones say nothing more.
        const time_span silence = std::min<time_span>(now - since, maxSilence / typicalSilences);
        m_typicalSilence += (silence - m_typicalSilence) / silenceWeight;
    }
    m_answeredAt = now;
    m_pause = shortPause;
    if (const auto found = m_candidates.find(endpoint); found != m_candidates.end()) {
        found->second.reachedAt = now;
    }
    if (const auto open = m_open.find(endpoint); open != m_open.end()) {
        open->second.silentSince = now;
    }
}

void endpoint_isolation_detector::finished(const network_address &endpoint)
{
    const auto found = m_open.find(endpoint);
    if (found != m_open.end() && --found->second.count == 0) {
        m_open.erase(found);
    }
}

void endpoint_isolation_detector::connected(const network_address &endpoint, monotonic_time now)
{
    m_probing.erase(endpoint);
    m_failed.erase(endpoint);
    m_lost.erase(endpoint);
    if (const auto found = m_candidates.find(endpoint); found != m_candidates.end()) {
        found->second.reachedAt = now;
    }
    if (!m_isolatedSince) {
        if (m_suspicious) {
            refute(now);
        }
        return;
    }
    std::erase_if(m_connected, [now](const auto &item) {
        return now - item.second.last > connectedWindow;
    });
    accepted_connections &accepted = m_connected.try_emplace(endpoint, accepted_connections{ now, now }).first->second;
    accepted.last = now;
    const bool again = now - accepted.first >= reconnectionTime;
    if (again || m_connected.size() >= std::min(connectedEndpointsNeeded, m_candidates.size())) {
        refute(now);
    }
}

void endpoint_isolation_detector::failed(const network_address &endpoint, monotonic_time now)
{
    m_probing.erase(endpoint);
    m_connected.erase(endpoint);
    if (!raiseSuspicion(now)) {
        return;
    }
    if (m_candidates.contains(endpoint)) {
        m_failed.insert(endpoint);
    }
}

void endpoint_isolation_detector::lost(const network_address &endpoint, monotonic_time now)
{
    m_connected.erase(endpoint);
    if (raiseSuspicion(now) && m_candidates.contains(endpoint)) {
        m_lost.insert(endpoint);
    }
}

bool endpoint_isolation_detector::raiseSuspicion(monotonic_time now)
{
    if (!isSuspicious()) {
        m_failureSeen = true;
        if (now < m_noSuspicionUntil) {
            return false;
        }
        suspect(now);
    }
    return true;
}

void endpoint_isolation_detector::suspect(monotonic_time now)
{
    m_suspicious = !m_candidates.empty();
    m_failureSeen = false;
    m_rounds = 0;
    m_failed.clear();
    m_lost.clear();
    m_probing.clear();
    m_nextProbesAt = m_suspicious ? now : monotonic_time::max();
}

void endpoint_isolation_detector::refute(monotonic_time now)
{
    m_suspicious = false;
    m_isolatedSince.reset();
    m_failureSeen = false;
    m_failed.clear();
    m_lost.clear();
    m_probing.clear();
    m_connected.clear();
    m_nextProbesAt = monotonic_time::max();
    m_noSuspicionUntil = now + std::max(m_pause, shortPause);
    m_pause = longPause;
}

bool endpoint_isolation_detector::isIsolationConfirmed() const
{
    // Endpoints that crash together fail several requests before any probe is made.
    if (m_rounds < roundsNeeded || !m_probing.empty() || m_failed.size() < std::min(failedEndpointsNeeded, m_candidates.size())) {
        return false;
    }
    std::set<availability_zone> all;
    std::set<availability_zone> failedZones;
    for (const auto &[address, each] : m_candidates) {
        all.insert(each.zone);
        if (m_failed.contains(address)) {
            failedZones.insert(each.zone);
        }
    }
    return failedZones.size() >= std::min<std::size_t>(2, all.size());
}

std::vector<network_address> endpoint_isolation_detector::advance(monotonic_time now)
{
    if (!isSuspicious()) {
        const bool failure = m_failureSeen && now >= m_noSuspicionUntil;
        if (!failure && now < silenceDue()) {
            return {};
        }
        suspect(now);
    }
    if (m_isolatedSince) {
        if (now < m_nextProbesAt) {
            return {};
        }
        m_nextProbesAt = now + isolatedProbeInterval;
        return startProbes(probesWhileIsolated, now);
    }
    if (isIsolationConfirmed()) {
        m_isolatedSince = now;
        m_nextProbesAt = now + isolatedProbeInterval;
        return {};
    }
    if (now < m_nextProbesAt && !m_probing.empty()) {
        return {};
    }
    const bool first = m_rounds++ == 0;
    m_nextProbesAt = first ? now + firstProbesTime : monotonic_time::max();
    return startProbes(first ? firstProbes : furtherProbes, now);
}

endpoint_isolation_detector::probe_rank endpoint_isolation_detector::rankOf(const network_address &address,
                                                                            const candidate &each,
                                                                            std::size_t similar,
                                                                            monotonic_time now) const
{
    if (m_isolatedSince) {
        // Endpoints that accepted a connection are asked again, new ones come next, and all get their turn.
        return { m_connected.contains(address) ? 0 : 1, each.probedAt - monotonic_time{}, similar, time_span::zero() };
    }
    // Endpoints that were reached last are most likely to be in order.
    return { m_failed.contains(address) || m_lost.contains(address) ? 1 : 0, time_span::zero(), similar, now - each.reachedAt };
}

std::vector<network_address> endpoint_isolation_detector::startProbes(std::size_t count, monotonic_time now)
{
    std::vector<network_address> result;
    std::map<service_id, std::size_t> services;
    std::map<availability_zone, std::size_t> zones;
    while (result.size() < count) {
        std::optional<probe_rank> bestRank;
        const network_address *best = nullptr;
        for (const auto &[address, each] : m_candidates) {
            if (m_probing.contains(address)) {
                continue;
            }
            const probe_rank rank = rankOf(address, each, services[each.service] + zones[each.zone], now);
            if (!bestRank || rank < *bestRank) {
                bestRank = rank;
                best = &address;
            }
        }
        if (best == nullptr) {
            break;
        }
        candidate &chosen = m_candidates.at(*best);
        chosen.probedAt = now;
        ++services[chosen.service];
        ++zones[chosen.zone];
        m_probing.insert(*best);
        result.push_back(*best);
    }
    return result;
}

bool endpoint_isolation_detector::isSilent(monotonic_time now) const noexcept
{
    return now - m_answeredAt >= minSilence;
}

monotonic_time endpoint_isolation_detector::silentSince() const
{
    monotonic_time oldest = monotonic_time::max();
    for (const auto &[address, open] : m_open) {
        oldest = std::min(oldest, open.silentSince);
    }
    return oldest == monotonic_time::max() ? oldest : std::max(oldest, m_answeredAt);
}

monotonic_time endpoint_isolation_detector::silenceDue() const
{
    const monotonic_time since = silentSince();
    if (since == monotonic_time::max()) {
        return since;
    }
    return std::max(since + std::clamp<time_span>(m_typicalSilence * typicalSilences, minSilence, maxSilence), m_noSuspicionUntil);
}

monotonic_time endpoint_isolation_detector::nextDue() const
{
    if (m_isolatedSince) {
        return m_nextProbesAt;
    }
    if (m_suspicious) {
        return m_probing.empty() ? monotonic_time::min() : m_nextProbesAt;
    }
    return m_failureSeen ? m_noSuspicionUntil : silenceDue();
}

} // namespace sycamoretray
