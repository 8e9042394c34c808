#include "placement/home_ranking.h"

#include "placement/placement_hash.h"

#include <algorithm>
#include <tuple>

namespace sycamoretray
{

std::vector<home_candidate> rankHomes(const server_id &server, const availability_zone &serverZone, std::vector<home_candidate> candidates)
{
    const std::uint64_t serverHash = detail::placementHash(server.value(), 0);
    const auto rank = [&](const home_candidate &c) {
        return std::make_tuple(c.homes, c.zone == serverZone, detail::placementHash(c.incarnation.value(), serverHash), c.incarnation);
    };
    std::sort(candidates.begin(), candidates.end(), [&rank](const home_candidate &a, const home_candidate &b) {
        return rank(a) < rank(b);
    });
    return candidates;
}

} // namespace sycamoretray
