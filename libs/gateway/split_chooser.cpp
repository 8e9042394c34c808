#include "gateway/split_chooser.h"

#include <algorithm>
#include <random>

namespace sycamoretray
{

namespace
{

bool sameTargets(const std::vector<route_target> &left, const std::vector<route_target> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const route_target &a, const route_target &b) {
        return a.service == b.service && a.weight == b.weight;
    });
}

} // namespace

split_chooser::split_chooser(std::uint64_t seed)
    : m_seed(seed)
{
}

void split_chooser::reset(route_state &state, const request_route &route) const
{
    state.targets = route.targets;
    state.credits.clear();
    double total = 0;
    for (const route_target &target : route.targets) {
        total += target.weight;
    }
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(m_seed));
    std::uniform_real_distribution<double> offset(-total / 2, total / 2);
    for (std::size_t i = 0; i < route.targets.size(); ++i) {
        state.credits.push_back(offset(random));
    }
}

const route_target &split_chooser::choose(const request_route &route)
{
    if (route.targets.size() == 1) {
        return route.targets.front();
    }
    route_state &state = m_routes[route.name];
    if (!sameTargets(state.targets, route.targets)) {
        reset(state, route);
    }
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < state.targets.size(); ++i) {
        total += state.targets[i].weight;
        state.credits[i] += state.targets[i].weight;
        if (state.credits[i] > state.credits[best]) {
            best = i;
        }
    }
    state.credits[best] -= total;
    return route.targets[best];
}

} // namespace sycamoretray
