#include "live_list_baseline.h"

#include <algorithm>

namespace sycamoretray::harness
{

using namespace std::chrono_literals;

live_list_baseline::live_list_baseline(placement_policy policy, std::size_t servers, std::size_t entryInstances, seeded_random &random)
    : m_policy(policy)
    , m_entryInstances(entryInstances)
    , m_random(random)
{
    for (std::size_t i = 0; i < servers; ++i) {
        m_servers.push_back({ server_id("t.tracking/e" + std::to_string(i)), true });
    }
    m_owners = balance(m_policy, slot_owners(hashSlotCount, noServer), m_servers);
}

baseline_change live_list_baseline::change(std::size_t server, bool listed, bool stillRunning)
{
    m_servers[server].eligible = listed;
    const slot_owners next = balance(m_policy, m_owners, m_servers);
    baseline_change result;
    std::vector<time_span> switches;
    for (std::size_t i = 0; i < m_entryInstances; ++i) {
        // Same delays as in simulated_cluster: the list is read every 250 ms and lags by up to 2 s.
        const time_span listLag = m_random.span(50ms, 2s);
        switches.push_back(m_random.span(0ms, 250ms) + listLag);
    }
    result.firstSwitch = *std::min_element(switches.begin(), switches.end());
    result.lastSwitch = *std::max_element(switches.begin(), switches.end());
    for (std::size_t slot = 0; slot < next.size(); ++slot) {
        const bool moved = next[slot] != m_owners[slot];
        const bool oldRuns = m_owners[slot] != server || stillRunning;
        result.moved += moved ? 1 : 0;
        result.twoOwners += moved && oldRuns && result.firstSwitch < result.lastSwitch ? 1 : 0;
    }
    m_owners = next;
    return result;
}

} // namespace sycamoretray::harness
