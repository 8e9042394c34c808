#include "placement/rendezvous_policy.h"

#include "placement/placement_hash.h"

namespace sycamoretray
{

namespace
{

server_index serverWithHighestHash(std::size_t slot, const placement_servers &servers)
{
    server_index best = noServer;
    std::uint64_t bestHash = 0;
    const auto serverCount = static_cast<server_index>(servers.size());
    for (server_index i = 0; i < serverCount; ++i) {
        if (!servers[i].eligible) {
            continue;
        }
        const std::uint64_t hash = detail::placementHash(servers[i].id.value(), slot);
        if (best == noServer || hash > bestHash) {
            best = i;
            bestHash = hash;
        }
    }
    return best;
}

} // namespace

slot_owners rendezvous_policy::fillUnowned(const slot_owners &owners, const placement_servers &servers) const
{
    slot_owners result = owners;
    for (std::size_t slot = 0; slot < result.size(); ++slot) {
        if (result[slot] == noServer) {
            result[slot] = serverWithHighestHash(slot, servers);
        }
    }
    return result;
}

slot_owners rendezvous_policy::balance(const slot_owners &owners, const placement_servers &servers) const
{
    return fillUnowned(slot_owners(owners.size(), noServer), servers);
}

} // namespace sycamoretray
