#include "placement/home_ranking.h"

#include "placement/placement_hash.h"

#include <algorithm>
#include <tuple>

namespace sycamoretray
{

std::vector<ranked_instance> rankHomes(const server_id &server, const availability_zone &serverZone, std::vector<ranked_instance> candidates)
{
    const std::uint64_t serverHash = detail::placementHash(server.value(), 0);
    const auto rank = [&](const ranked_instance &c) {
        return std::make_tuple(c.homes, c.zone == serverZone, detail::placementHash(c.incarnation.value(), serverHash), c.incarnation);
    };
    std::sort(candidates.begin(), candidates.end(), [&rank](const ranked_instance &a, const ranked_instance &b) {
        return rank(a) < rank(b);
    });
    return candidates;
}

} // namespace sycamoretray
