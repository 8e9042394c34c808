#pragma once

#include "directory/endpoint_entry.h"

#include <map>
#include <set>

namespace sycamoretray::detail
{

/**
 * Tracks until when each incarnation of an endpoint may hold keys by grants that were sent to it.
 *
 * Thread safety: none.
 */
class holder_expiries
{
public:
    /** Records that a grant that expires at @p expiry may have reached @p incarnation. */
    void extend(const endpoint_incarnation &incarnation, monotonic_time expiry);

    /** Records that a previous assigner may have granted keys to @p incarnation until @p expiry. */
    void inherit(const endpoint_incarnation &incarnation, monotonic_time expiry);

    /** Records that every grant of previous assigners expires by @p expiry. */
    void limitInherited(monotonic_time expiry);

    /** Records that the process of @p incarnation has terminated and holds nothing. */
    void ended(const endpoint_incarnation &incarnation);

    /** Forgets the incarnations that hold nothing at @p now, except those in @p kept. */
    void forgetLapsed(const std::set<endpoint_incarnation> &kept, monotonic_time now);

    /** Returns the time from which @p incarnation is known to hold nothing. */
    monotonic_time expiry(const endpoint_incarnation &incarnation) const;

    /** Returns for how long @p incarnation may still hold keys; 0 if it holds nothing. */
    time_span remaining(const endpoint_incarnation &incarnation, monotonic_time now) const;

private:
    std::map<endpoint_incarnation, monotonic_time> m_expiries;
    std::map<endpoint_incarnation, monotonic_time> m_inherited;
};

} // namespace sycamoretray::detail
