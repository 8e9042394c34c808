#pragma once

#include "controller/controller_context.h"

#include <map>
#include <set>

namespace sycamoretray
{

/** Dates the newest proof that this instance knows all claims. docs/design.md, section 6. Thread safety: none. */
class evidence_tracker
{
public:
    explicit evidence_tracker(const controller_context &context);

    /** A read that began at @p started showed no record past the replayed position. */
    void logRead(monotonic_time started);

    /** @p confirmer answered a probe sent at @p sent and was not past the replayed position. */
    void confirmed(const incarnation_id &confirmer, monotonic_time sent);

    /** Time to which the newest evidence is dated; the clock's zero if there is none. */
    monotonic_time newest() const;

    /** The evidence allows grants now. */
    bool fresh() const;

    /** End of validity of the newest evidence. */
    monotonic_time validUntil() const;

private:
    monotonic_time majorityTime(const std::set<incarnation_id> &confirmers) const;

    const controller_context &m_context;
    monotonic_time m_logRead;
    std::map<incarnation_id, monotonic_time> m_confirmed;
};

} // namespace sycamoretray
