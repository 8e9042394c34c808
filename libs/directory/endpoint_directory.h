#pragma once

#include "directory/endpoint_entry.h"

#include <map>
#include <optional>
#include <vector>

namespace sycamoretray
{

/** An entry of the directory and when it was learnt. */
struct listed_endpoint {
    endpoint_entry entry;
    log_offset offset;
    /** When the current state (ready or draining) of this life was first seen. */
    monotonic_time stateSince{};
    /** The entry was removed while the source was away; the endpoint is kept until this time in case it registers again. */
    std::optional<monotonic_time> missingUntil;
};

/**
 * Endpoints of one service for requests that any of them can run. Entries that are missing are left out, unless they are most of
 * them: an instance that was cut off cannot tell an endpoint that left meanwhile from one that registers again after an outage.
 *
 * Thread-safe.
 */
std::vector<listed_endpoint> usableForNewWork(const std::vector<listed_endpoint> &endpoints);

/** An entry as a source delivers it; no value means that the entry was removed. */
struct directory_record {
    endpoint_id id;
    std::optional<endpoint_entry> entry;
    log_offset offset;
};

/**
 * The endpoints that are registered with the platform.
 *
 * Entries lapse while the source is away and are registered again soon after its return. An entry that is removed during
 * that time is kept for a grace period.
 *
 * Thread safety: none.
 */
class endpoint_directory
{
public:
    /** @param returnGrace  time after the return of the source for which removed entries are kept */
    explicit endpoint_directory(time_span returnGrace);

    /** Applies a record. Records with an offset below that of the known entry are ignored. Returns whether anything but the offset changed. */
    bool apply(const directory_record &record, monotonic_time now);

    /** Applies a complete listing: entries that it does not contain are removed. Returns whether anything changed. */
    bool applyListing(const std::vector<directory_record> &listing, log_offset end, monotonic_time now);

    /** The source cannot be read any more. Repeated calls have no effect. */
    void sourceLost();

    /** The source can be read again. */
    void sourceReturned(monotonic_time now);

    /** Removes entries whose grace period is over. Returns whether there were any. */
    bool expire(monotonic_time now);

    const std::map<endpoint_id, listed_endpoint> &endpoints() const noexcept;

private:
    bool put(const directory_record &record, monotonic_time now);
    bool remove(const endpoint_id &id, monotonic_time now);

    time_span m_returnGrace;
    bool m_sourceLost = false;
    std::optional<monotonic_time> m_graceUntil;
    std::map<endpoint_id, listed_endpoint> m_endpoints;
};

} // namespace sycamoretray
