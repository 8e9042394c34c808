#include "gateway/peer_chooser.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr time_span isolatedTime = std::chrono::seconds(1);
constexpr time_span unreachableTime = std::chrono::seconds(2);
constexpr time_span stoppingTime = std::chrono::seconds(6);
constexpr time_span silentTime = std::chrono::seconds(1);
// An instance that answered in this time probably takes the next request as well.
constexpr time_span answeredTime = std::chrono::seconds(3);
// One that did not is chosen only if it has this much less to do.
constexpr double untriedFactor = 3;
// Number of avoided instances from which on a zone without answers is left to the last.
constexpr std::size_t avoidedLimit = 2;

time_span avoidanceTime(peer_outcome outcome)
{
    switch (outcome) {
    case peer_outcome::isolated:
        return isolatedTime;
    case peer_outcome::stopping:
        return stoppingTime;
    case peer_outcome::unreachable:
        return unreachableTime;
    case peer_outcome::answered:
    case peer_outcome::unanswered:
    case peer_outcome::unknown:
        break;
    }
    return time_span::zero();
}

} // namespace

peer_chooser::peer_chooser(availability_zone zone)
    : m_zone(std::move(zone))
{
}

void peer_chooser::setPeers(const std::vector<forwarding_peer> &peers)
{
    std::map<network_address, peer_state> states;
    for (const forwarding_peer &peer : peers) {
        peer_state &state = states[peer.address];
        if (const auto known = m_peers.find(peer.address); known != m_peers.end()) {
            state = known->second;
        }
        state.peer = peer;
    }
    m_peers = std::move(states);
}

bool peer_chooser::hasAnswered(const peer_state &state, monotonic_time now)
{
    return state.answeredAt != monotonic_time{} && now - state.answeredAt < answeredTime;
}

std::map<availability_zone, peer_chooser::zone_state> peer_chooser::rateZones(monotonic_time now)
{
    std::map<availability_zone, zone_state> zones;
    for (auto &[address, state] : m_peers) {
        zone_state &zone = zones[state.peer.zone];
        if (state.avoidedUntil > now) {
            ++zone.avoided;
            continue;
        }
        const bool answered = hasAnswered(state, now);
        zone.anyAnswered = zone.anyAnswered || answered;
        const bool silent = state.silentUntil > now;
        const double cost = (state.outstanding + 1) / std::max(0.01, state.peer.weight) * (answered ? 1 : untriedFactor);
        if (zone.best == nullptr || std::tuple(silent, cost, state.used) < std::tuple(zone.bestSilent, zone.bestCost, zone.best->used)) {
            zone.best = &state;
            zone.bestSilent = silent;
            zone.bestCost = cost;
        }
    }
    return zones;
}

std::optional<network_address> peer_chooser::choose(monotonic_time now)
{
    peer_state *best = nullptr;
    std::tuple<bool, bool, double, std::uint64_t> bestRank;
    for (const auto &[name, zone] : rateZones(now)) {
        if (zone.best == nullptr) {
            continue;
        }
        const bool lost = zone.bestSilent || (zone.avoided >= avoidedLimit && !zone.anyAnswered);
        const std::tuple rank(lost, name != m_zone, zone.bestCost, zone.best->used);
        if (best == nullptr || rank < bestRank) {
            best = zone.best;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ++best->outstanding;
    best->used = ++m_uses;
    return best->peer.address;
}

void peer_chooser::finished(const network_address &peer, peer_outcome outcome, monotonic_time now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return;
    }
    peer_state &state = found->second;
    state.outstanding -= std::min(1U, state.outstanding);
    if (outcome == peer_outcome::answered) {
        state.answeredAt = now;
        state.avoidedUntil = {};
        state.silentUntil = {};
    } else if (avoidanceTime(outcome) > time_span::zero()) {
        state.answeredAt = {};
        state.avoidedUntil = now + avoidanceTime(outcome);
    }
}

void peer_chooser::unanswered(const network_address &peer, monotonic_time sent, monotonic_time now)
{
    finished(peer, peer_outcome::unanswered, now);
    const auto found = m_peers.find(peer);
    if (found != m_peers.end() && found->second.answeredAt < sent) {
        found->second.answeredAt = {};
        found->second.silentUntil = now + silentTime;
    }
}

} // namespace sycamoretray
