#pragma once

#include "placement/placement_policy.h"
#include "seeded_random.h"

#include <vector>

namespace sycamoretray::harness
{

/** What one change of the set of servers costs when every entry instance routes by its own view of the instance list. */
struct baseline_change {
    /** Slots that ended up elsewhere. */
    std::size_t moved = 0;
    /** Time from the change until the last entry instance routes by it, and until the first one does. */
    time_span lastSwitch{};
    time_span firstSwitch{};
    /** Slots that two entry instances sent to different running servers at one moment. */
    std::size_t twoOwners = 0;
};

/**
 * Baseline without leases: each entry instance computes the owners from the servers that its lagging list shows.
 *
 * Thread safety: none.
 */
class live_list_baseline
{
public:
    live_list_baseline(placement_policy policy, std::size_t servers, std::size_t entries, seeded_random &random);

    /** @p server disappears from the list (or appears again). @p runs tells whether it still runs requests while it is unlisted. */
    baseline_change change(std::size_t server, bool listed, bool runs);

private:
    placement_policy m_policy;
    std::size_t m_entries;
    seeded_random &m_random;
    placement_servers m_servers;
    slot_owners m_owners;
};

} // namespace sycamoretray::harness
