#pragma once

#include "placement/placement_policy.h"
#include "seeded_random.h"

#include <vector>

namespace sycamoretray::harness
{

/** Effect of one change of the set of servers if every entry instance routes by its own view of the instance list. */
struct baseline_change {
    /** Slots that were assigned to another server. */
    std::size_t moved = 0;
    /** Time from the change until the last entry instance routes by it. */
    time_span lastSwitch{};
    /** Time from the change until the first entry instance routes by it. */
    time_span firstSwitch{};
    /** Slots that two entry instances sent to different running servers at the same time. */
    std::size_t twoOwners = 0;
};

/**
 * Baseline without leases: each entry instance computes the owners from its own, delayed copy of the list of servers.
 *
 * Thread safety: none.
 */
class live_list_baseline
{
public:
    live_list_baseline(placement_policy policy, std::size_t servers, std::size_t entryInstances, seeded_random &random);

    /**
     * Removes @p server from the list, or adds it again if @p listed is set. @p stillRunning tells whether the server runs requests
     * while it is not listed.
     */
    baseline_change change(std::size_t server, bool listed, bool stillRunning);

private:
    placement_policy m_policy;
    std::size_t m_entryInstances;
    seeded_random &m_random;
    placement_servers m_servers;
    slot_owners m_owners;
};

} // namespace sycamoretray::harness
