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
 * Uses smooth weighted round robin: the number of requests to a target never differs from its share by more than one, so that the
 * shares of all instances together are correct however the requests are distributed among the instances.
 *
 * Thread safety: none.
 */
class split_chooser
{
public:
    /** @param seed  different for each instance, as otherwise all instances would begin with the same target */
    explicit split_chooser(std::uint64_t seed);

    /** Returns the target for the next request. Precondition: the route has a target. */
    const route_target &choose(const request_route &route);

private:
    struct route_state {
        std::vector<route_target> targets;
        std::vector<double> credits;
    };
    void reset(route_state &state, const request_route &route) const;

    std::uint64_t m_seed;
    std::map<std::string, route_state> m_routes;
};

} // namespace sycamoretray
