#pragma once

#include "directory/request_routes.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sycamoretray
{

/**
 * Divides the requests of a route among its targets in proportion to their weights.
 *
 * Smooth weighted round robin: each target's share is kept to within one request at all times, so that the shares of all
 * instances together are right however the requests are spread over the instances.
 *
 * Thread safety: none.
 */
class split_chooser
{
public:
    /** @param seed  differs between instances, which otherwise would all begin with the same target */
    explicit split_chooser(std::uint64_t seed);

    /** Returns the target for the next request. Precondition: the route has a target. */
    const route_target &choose(const request_route &route);

private:
    struct route_state {
        std::vector<route_target> targets;
        std::vector<double> credit;
    };
    void start(route_state &state, const request_route &route) const;

    std::uint64_t m_seed;
    std::map<std::string, route_state> m_routes;
};

} // namespace sycamoretray
