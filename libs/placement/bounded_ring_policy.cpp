#include "placement/bounded_ring_policy.h"

#include "placement/placement_hash.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

constexpr std::uint64_t pointsPerServer = 100;

using ring_point = std::pair<std::uint64_t, server_index>;

std::vector<ring_point> buildRing(const placement_servers &servers)
{
    std::vector<ring_point> ring;
    const auto serverCount = static_cast<server_index>(servers.size());
    for (server_index i = 0; i < serverCount; ++i) {
        for (std::uint64_t point = 0; servers[i].eligible && point < pointsPerServer; ++point) {
            ring.emplace_back(detail::placementHash(servers[i].id.value(), point), i);
        }
    }
    std::sort(ring.begin(), ring.end());
    return ring;
}

} // namespace

slot_owners bounded_ring_policy::fillUnowned(const slot_owners &owners, const placement_servers &servers) const
{
    slot_owners result = owners;
    const std::vector<ring_point> ring = buildRing(servers);
    if (ring.empty()) {
        return result;
    }
    const std::size_t eligible = ring.size() / pointsPerServer;
    const std::size_t maxSlots = (owners.size() * 5 + eligible * 4 - 1) / (eligible * 4);
    std::vector<std::size_t> slotCounts(servers.size(), 0);
    for (const server_index owner : owners) {
        if (owner < servers.size()) {
            ++slotCounts[owner];
        }
    }
    for (std::size_t slot = 0; slot < result.size(); ++slot) {
        if (result[slot] != noServer) {
            continue;
        }
        const ring_point start(detail::placementHash("slot", slot), 0);
        auto point = std::lower_bound(ring.begin(), ring.end(), start);
        for (std::size_t step = 0; step < ring.size(); ++step, ++point) {
            point = point == ring.end() ? ring.begin() : point;
            if (slotCounts[point->second] < maxSlots) {
                break;
            }
        }
        result[slot] = (point == ring.end() ? ring.begin() : point)->second;
        ++slotCounts[result[slot]];
    }
    return result;
}

slot_owners bounded_ring_policy::balance(const slot_owners &owners, const placement_servers &servers) const
{
    return fillUnowned(slot_owners(owners.size(), noServer), servers);
}

} // namespace sycamoretray
