#include "placement/fewest_slots_policy.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace sycamoretray
{

namespace
{

std::vector<std::uint32_t> countSlots(const slot_owners &owners, std::size_t servers)
{
    std::vector<std::uint32_t> counts(servers, 0);
    for (const server_index owner : owners) {
        if (owner < servers) {
            ++counts[owner];
        }
    }
    return counts;
}

/** Returns the target slot count of each server; those that hold the most slots get the remainder, because that moves the fewest slots. */
std::vector<std::uint32_t> targetCounts(const std::vector<std::uint32_t> &counts, const placement_servers &servers, std::uint32_t total)
{
    std::vector<server_index> order;
    const auto serverCount = static_cast<server_index>(servers.size());
    for (server_index i = 0; i < serverCount; ++i) {
        if (servers[i].eligible) {
            order.push_back(i);
        }
    }
    std::stable_sort(order.begin(), order.end(), [&counts](server_index a, server_index b) {
        return counts[a] > counts[b];
    });
    std::vector<std::uint32_t> result(servers.size(), 0);
    const auto eligible = static_cast<std::uint32_t>(order.size());
    for (std::uint32_t i = 0; i < eligible; ++i) {
        result[order[i]] = total / eligible + (i < total % eligible ? 1 : 0);
    }
    return result;
}

} // namespace

slot_owners fewest_slots_policy::fillUnowned(const slot_owners &owners, const placement_servers &servers) const
{
    slot_owners result = owners;
    const std::vector<std::uint32_t> counts = countSlots(owners, servers.size());
    using entry = std::pair<std::uint32_t, server_index>;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> serversByCount;
    const auto serverCount = static_cast<server_index>(servers.size());
    for (server_index i = 0; i < serverCount; ++i) {
        if (servers[i].eligible) {
            serversByCount.emplace(counts[i], i);
        }
    }
    if (serversByCount.empty()) {
        return result;
    }
    for (server_index &owner : result) {
        if (owner == noServer) {
            const entry next = serversByCount.top();
            serversByCount.pop();
            owner = next.second;
            serversByCount.emplace(next.first + 1, next.second);
        }
    }
    return result;
}

slot_owners fewest_slots_policy::balance(const slot_owners &owners, const placement_servers &servers) const
{
    slot_owners result = fillUnowned(owners, servers);
    const std::vector<std::uint32_t> counts = countSlots(result, servers.size());
    if (std::none_of(servers.begin(), servers.end(), [](const placement_server &s) {
            return s.eligible;
        })) {
        return result;
    }
    const std::vector<std::uint32_t> targets = targetCounts(counts, servers, std::accumulate(counts.begin(), counts.end(), 0U));
    std::vector<std::vector<std::size_t>> surplus(servers.size());
    for (std::size_t slot = result.size(); slot-- > 0;) {
        const server_index owner = result[slot];
        if (owner < servers.size() && counts[owner] > targets[owner] && surplus[owner].size() < counts[owner] - targets[owner]) {
            surplus[owner].push_back(slot);
        }
    }
    server_index receiver = 0;
    std::uint32_t received = 0;
    for (const std::vector<std::size_t> &slots : surplus) {
        for (const std::size_t slot : slots) {
            while (counts[receiver] + received >= targets[receiver]) {
                ++receiver;
                received = 0;
            }
            result[slot] = receiver;
            ++received;
        }
    }
    return result;
}

} // namespace sycamoretray
