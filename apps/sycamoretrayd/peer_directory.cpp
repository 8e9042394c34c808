#include "sycamoretrayd/peer_directory.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// A leaving instance may wait for answers up to the leave limit of its services, most of which are shorter than this.
constexpr time_span retentionAfterLeave = std::chrono::minutes(2);

} // namespace

void peer_directory::update(const std::map<incarnation_id, network_address> &peers, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[peer, address] : peers) {
        entry &known = m_peers[peer];
        known.address = address;
        known.leftAt = monotonic_time::max();
    }
    for (auto &[peer, known] : m_peers) {
        if (!peers.contains(peer) && known.leftAt == monotonic_time::max()) {
            known.leftAt = now;
        }
    }
    std::erase_if(m_peers, [&](const auto &item) {
        return item.second.leftAt != monotonic_time::max() && now - item.second.leftAt > retentionAfterLeave;
    });
}

void peer_directory::recordMessage(const incarnation_id &peer, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second.lastMessageAt = std::max(found->second.lastMessageAt, now);
    }
}

std::optional<network_address> peer_directory::addressOf(const incarnation_id &peer) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? std::nullopt : std::optional(found->second.address);
}

std::vector<std::pair<incarnation_id, network_address>> peer_directory::current() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<incarnation_id, network_address>> result;
    for (const auto &[peer, known] : m_peers) {
        if (known.leftAt == monotonic_time::max()) {
            result.emplace_back(peer, known.address);
        }
    }
    return result;
}

std::set<incarnation_id> peer_directory::known() const
{
    const std::lock_guard lock(m_mutex);
    std::set<incarnation_id> result;
    for (const auto &item : m_peers) {
        result.insert(item.first);
    }
    return result;
}

std::vector<incarnation_id> peer_directory::unresponsiveFor(time_span limit, monotonic_time now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<incarnation_id> result;
    for (const auto &[peer, known] : m_peers) {
        if (known.lastMessageAt != monotonic_time{} && now - known.lastMessageAt > limit) {
            result.push_back(peer);
        }
    }
    return result;
}

} // namespace sycamoretray
