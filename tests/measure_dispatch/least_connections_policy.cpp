#include "least_connections_policy.h"

#include <algorithm>

namespace sycamoretray
{

least_connections_policy::least_connections_policy(std::size_t servers, std::uint64_t seed)
    : m_inFlight(servers)
    , m_random(seed)
{
}

std::size_t least_connections_policy::choose(bool /*isLong*/)
{
    const std::uint32_t fewest = *std::min_element(m_inFlight.begin(), m_inFlight.end());
    std::vector<std::size_t> ties;
    for (std::size_t i = 0; i < m_inFlight.size(); ++i) {
        if (m_inFlight[i] == fewest) {
            ties.push_back(i);
        }
    }
    const std::size_t chosen = ties[std::uniform_int_distribution<std::size_t>(0, ties.size() - 1)(m_random)];
    ++m_inFlight[chosen];
    return chosen;
}

void least_connections_policy::finished(std::size_t server, bool /*isLong*/)
{
    --m_inFlight[server];
}

void least_connections_policy::applyLoadReport(std::size_t /*server*/, const home_load & /*load*/)
{
}

} // namespace sycamoretray
