#include "controller/hot_key_mover.h"

#include "placement/placement_hash.h"

#include <algorithm>
#include <tuple>

namespace sycamoretray
{

namespace
{

/** A key becomes hot at this share of the requests of its server, and stays hot down to the lower one. */
constexpr double hotKeyShare = 0.10;
constexpr double staysHotShare = 0.04;
constexpr time_span hotDuration = std::chrono::milliseconds(1500);
constexpr time_span coldDuration = std::chrono::seconds(30);
constexpr std::uint32_t maxMovesPerKey = 2;

} // namespace

hot_key_mover::hot_key_mover(controller_context &context, home_servers &homes, slot_mover &mover)
    : m_context(context)
    , m_homes(homes)
    , m_mover(mover)
{
}

void hot_key_mover::handleReport(const hot_key_report &report)
{
    if (m_homes.find(report.server) == nullptr || report.serverRequestsPerSecond <= 0) {
        return;
    }
    const double share = report.requestsPerSecond / report.serverRequestsPerSecond;
    server_keys &keys = m_keys[report.server];
    const auto known = keys.find(report.key);
    if (share < (known == keys.end() ? hotKeyShare : staysHotShare)) {
        return;
    }
    hot_key &key = keys.try_emplace(report.key, hot_key{ 0, m_context.now, m_context.now, 0 }).first->second;
    if (m_context.now - key.lastHot > hotDuration) {
        key.hotSince = m_context.now;
    }
    key.share = share;
    key.lastHot = m_context.now;
}

server_id hot_key_mover::serverWithoutHotKeys(const server_id &from, const std::string &key) const
{
    const service_id &service = m_context.state.servers().at(from).service;
    const slot_table &table = *m_context.state.findTable(service);
    std::map<server_id, std::size_t> hotKeys;
    for (const auto &[name, exception] : table.exceptions()) {
        ++hotKeys[exception.server];
    }
    for (const auto &[server, keys] : m_keys) {
        hotKeys[server] += keys.size();
    }
    server_id best;
    std::tuple<std::size_t, std::uint64_t> bestRank;
    for (const server_id &candidate : table.servers()) {
        const std::tuple<std::size_t, std::uint64_t> rank(hotKeys[candidate], detail::placementHash(key + candidate.value(), 0));
        if (candidate != from && m_context.state.servers().at(candidate).eligible() && (best.value().empty() || rank < bestRank)) {
            best = candidate;
            bestRank = rank;
        }
    }
    return !best.value().empty() && std::get<0>(bestRank) == 0 ? best : server_id();
}

void hot_key_mover::moveHotKeys(const server_id &from, server_keys &keys)
{
    const slot_table &table = *m_context.state.findTable(m_context.state.servers().at(from).service);
    std::vector<std::pair<double, std::string>> hot;
    for (const auto &[name, key] : keys) {
        const bool hotLongEnough = key.lastHot - key.hotSince >= hotDuration && m_context.now - key.lastHot < hotDuration;
        if (hotLongEnough && table.ownerOfKey(name) == from) {
            hot.emplace_back(key.share, name);
        }
    }
    std::sort(hot.rbegin(), hot.rend());
    for (std::size_t i = 1; i < hot.size(); ++i) {
        hot_key &key = keys.at(hot[i].second);
        const server_id to = serverWithoutHotKeys(from, hot[i].second);
        const bool hasCapacity = table.exceptions().contains(hot[i].second) || table.exceptions().size() < slot_table::maxExceptions;
        if (key.moves < maxMovesPerKey && hasCapacity && !to.value().empty()) {
            ++key.moves;
            m_mover.moveKey(from, to, hot[i].second);
            return;
        }
    }
}

void hot_key_mover::returnColdKeys(const server_id &from, server_keys &keys)
{
    const slot_table &table = *m_context.state.findTable(m_context.state.servers().at(from).service);
    for (const auto &[name, exception] : table.exceptions()) {
        // A new home does not know when the key was last hot, so the time counts from now.
        const hot_key &key = keys.try_emplace(name, hot_key{ 0, m_context.now, m_context.now, 0 }).first->second;
        if (exception.server == from && m_context.now - key.lastHot > coldDuration) {
            m_mover.moveKey(from, server_id(), name);
            return;
        }
    }
}

void hot_key_mover::tick(const std::set<server_id> &busy)
{
    std::erase_if(m_keys, [this](const auto &entry) {
        return m_homes.find(entry.first) == nullptr;
    });
    for (const auto &[from, lease] : m_homes.leases()) {
        const slot_table *table = m_context.state.findTable(lease->state().service);
        if (table == nullptr || busy.contains(from) || m_mover.busy(from) || m_mover.backingOff(from) || !lease->mayMoveSlots()) {
            continue;
        }
        server_keys &keys = m_keys[from];
        std::erase_if(keys, [&, server = from](const auto &entry) {
            return m_context.now - entry.second.lastHot > coldDuration && table->ownerOfKey(entry.first) != server;
        });
        moveHotKeys(from, keys);
        if (!m_mover.busy(from)) {
            returnColdKeys(from, keys);
        }
    }
}

} // namespace sycamoretray
