#pragma once

#include "directory/endpoint_entry.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sycamoretray
{

/** An entry of the directory with its state. */
struct listed_endpoint {
    endpoint_entry entry;
    log_offset offset;
    /** Time at which the current state (ready or draining) of this incarnation was first seen. */
    monotonic_time stateSince{};
    /**
     * End of the time in which the endpoint is cold: slow, and lost if it gets more requests than its service's cold request rate. Counted from
     * when the record that states the remaining time was first read; in the past if the endpoint is warm.
     */
    monotonic_time coldUntil{};
    /** Set while the operator evacuates the endpoint's zone: the time since which this is known. Nothing new may be sent to it. */
    std::optional<monotonic_time> evacuatedSince;
    /** Set if the entry was removed while the source was unavailable: the endpoint is kept until this time, because it may register again. */
    std::optional<monotonic_time> missingUntil;
};

/** Returns whether the endpoint may get requests that another endpoint can run: it is not draining, and its zone is not evacuated. Thread-safe. */
bool acceptsNewWork(const listed_endpoint &endpoint) noexcept;

/**
 * Selects the endpoints of one service for requests that any of them can run: of those that accept new work, the registered ones.
 *
 * Endpoints with a missing entry are left out, unless they are more than half: an instance that was disconnected cannot
 * distinguish an endpoint that left in the meantime from one that is about to register again after an outage.
 *
 * Thread-safe.
 */
std::vector<listed_endpoint> usableForNewWork(const std::vector<listed_endpoint> &endpoints);

/** An entry as read from the source; without a value if the entry was removed. */
struct directory_record {
    endpoint_id id;
    std::optional<endpoint_entry> entry;
    log_offset offset;
};

/**
 * Directory of the endpoints that are registered with the platform.
 *
 * Entries expire while the source is unavailable, and are registered again soon after its return. An entry that is removed during
 * that time is kept for a grace period.
 *
 * Thread safety: none.
 */
class endpoint_directory
{
public:
    /** @param gracePeriod  time after the return of the source for which removed entries are kept */
    explicit endpoint_directory(time_span gracePeriod);

    /** Applies a record. Records with an offset below that of the known entry are ignored. Returns whether anything but the offset changed. */
    bool apply(const directory_record &record, monotonic_time now);

    /**
     * Applies a complete listing: entries below the offset @p end that it does not contain are removed. Returns whether anything changed.
     *
     * A listing of a later era comes from an older copy of the source, whose endpoints write again what they wrote since. Until then an
     * endpoint that drains continues to, one that was removed shortly before stays removed, and one that is not listed has the grace period.
     */
    bool applyListing(const std::vector<directory_record> &listing, store_era era, log_offset end, monotonic_time now);

    /**
     * Records that @p incarnation said itself that it leaves. It counts as draining from then on, whatever its entry says now or later,
     * until its id has a later incarnation. Returns whether anything changed.
     */
    bool setLeaving(const endpoint_incarnation &incarnation, monotonic_time now);

    /**
     * Sets the evacuated zones. Endpoints in them are marked with the time since which their zone is evacuated, also those that register
     * later. Returns whether the mark of any endpoint changed.
     *
     * The endpoints of a zone that is not evacuated any more may have become cold without having reported it yet. They count as cold for a
     * time that depends on their service, until their entry is read in a later version.
     *
     * @param coldTime  returns that time; zero for a service whose endpoints need no protection
     */
    bool setEvacuated(const std::set<availability_zone> &zones, const std::function<time_span(const service_id &)> &coldTime, monotonic_time now);

    /** Records that the source cannot be read. Repeated calls have no effect. */
    void sourceLost();

    /** Records that the source can be read again, and starts the grace period. */
    void sourceReturned(monotonic_time now);

    /** Removes entries whose grace period is over, and adds those that a restored source still lists. Returns whether there were any. */
    bool expire(monotonic_time now);

    const std::map<endpoint_id, listed_endpoint> &endpoints() const noexcept;

private:
    /** @param restored  the record was read from an older copy of the source */
    bool applyRecord(const directory_record &record, bool restored, monotonic_time now);
    bool insertOrUpdate(const directory_record &record, bool restored, monotonic_time now);
    /** Returns listed_endpoint::coldUntil of the endpoint @p known after @p record. */
    static monotonic_time coldUntil(const listed_endpoint &known, const directory_record &record, bool restored, monotonic_time now);
    bool remove(const endpoint_id &id, monotonic_time now);
    void erase(const endpoint_id &id, monotonic_time now);
    /** Prepares for records whose offsets are not comparable with those of before. */
    void forgetOffsets(monotonic_time now);
    /** Applies an entry of a listing that may be older than what is known. */
    bool applyOlder(const directory_record &record, monotonic_time now);

    /** Returns since when the zone is evacuated, if it is. */
    std::optional<monotonic_time> evacuatedSince(const availability_zone &zone) const;

    /** Returns when the incarnation said that it leaves, if it did. */
    std::optional<monotonic_time> leavingSince(const endpoint_incarnation &incarnation) const;

    struct leaving_endpoint {
        std::uint64_t startedAtMs = 0;
        monotonic_time since{};
    };
    struct removed_endpoint {
        std::uint64_t startedAtMs = 0;
        monotonic_time at{};
    };
    struct postponed_record {
        directory_record record;
        monotonic_time until{};
    };

    time_span m_gracePeriod;
    bool m_sourceUnavailable = false;
    std::optional<monotonic_time> m_gracePeriodEnd;
    std::map<endpoint_id, listed_endpoint> m_endpoints;
    std::optional<store_era> m_era;
    /** Evacuated zones, and since when this is known. */
    std::map<availability_zone, monotonic_time> m_evacuated;
    /** Endpoints that were removed shortly before. */
    std::map<endpoint_id, removed_endpoint> m_removed;
    /** Endpoints that said themselves that they leave. */
    std::map<endpoint_id, leaving_endpoint> m_leaving;
    /** Entries that a restored source lists although they had been removed. */
    std::map<endpoint_id, postponed_record> m_postponed;
};

} // namespace sycamoretray
