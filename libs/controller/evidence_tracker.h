#pragma once

#include "controller/controller_context.h"

#include <map>
#include <set>

namespace sycamoretray
{

/**
 * Tracks evidence: the latest time at which this instance is known to have replayed all home claims. docs/design.md, section 6.
 *
 * Thread safety: none.
 */
class evidence_tracker
{
public:
    explicit evidence_tracker(const controller_context &context);

    /** A read that began at @p started returned no record after the replayed position. */
    void addLogRead(monotonic_time started);

    /** @p confirmer answered a probe sent at @p sent, and its position was not after the replayed position. */
    void addConfirmation(const incarnation_id &confirmer, monotonic_time sent);

    /** Time of the newest evidence; the zero of the clock if there is none. */
    monotonic_time newest() const;

    /** True if the evidence is recent enough to grant leases. */
    bool fresh() const;

    /** Time at which the newest evidence expires. */
    monotonic_time validUntil() const;

private:
    /** Latest time for which a majority of @p confirmers gave evidence. */
    monotonic_time majorityTime(const std::set<incarnation_id> &confirmers) const;

    const controller_context &m_context;
    monotonic_time m_newestLogRead;
    std::map<incarnation_id, monotonic_time> m_newestConfirmations;
};

} // namespace sycamoretray
