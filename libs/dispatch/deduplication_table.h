#pragma once

#include "dispatch/server_dispatcher.h"

#include <memory>
#include <vector>

namespace sycamoretray
{

/** Result of looking up a request id in the deduplication table. */
enum class duplicate_verdict {
    /** The id is not in the table and may run. */
    unseen,
    /** A request with the id is queued or running; see duplicate_lookup::primary. */
    in_progress,
    /** The id must not run; duplicate_lookup::code and answer are the outcome for the caller. */
    must_not_run,
    /** The table is full; the id must not run because it could not be stored. */
    table_full,
};

struct duplicate_lookup {
    duplicate_verdict verdict = duplicate_verdict::unseen;
    dispatch_id primary;
    result_code code = result_code::ok;
    std::shared_ptr<const answer_payload> answer;
};

/**
 * Deduplication table of one home, which makes non-idempotent requests run at most once: their ids with the outcomes.
 *
 * An entry is identified by (request id, key). The number of entries and the bytes of stored answers are bounded; the
 * oldest answers are dropped first. An entry is removed when it is older than the window; from then on its id counts as
 * expired and never runs.
 *
 * Thread safety: none.
 */
class deduplication_table
{
public:
    deduplication_table(const dispatcher_settings &settings, wall_time startedAt);
    ~deduplication_table();
    deduplication_table(deduplication_table &&) noexcept;
    deduplication_table &operator=(deduplication_table &&) noexcept;

    /** Looks up the id of @p request without changing the table. */
    duplicate_lookup find(const dispatch_request &request, wall_time now) const;

    /** Inserts the id as in progress. Precondition: find() returned unseen for it. */
    void insert(const dispatch_request &request);

    /** Replaces the primary request of an id in progress: the one that is queued or running for it. */
    void replacePrimary(const dispatch_request &request);

    /** Records the outcome of an id in progress. Precondition: @p code is ok or of the outcome class unknown. */
    void recordOutcome(const dispatch_request &request, result_code code, std::shared_ptr<const answer_payload> answer, std::uint64_t bytes);

    /** Removes an id in progress that certainly did not run. */
    void remove(const dispatch_request &request);

    /** Removes finished ids that are older than the window. The limit never moves back, even if @p now does. */
    void expire(wall_time now);

    /** Copies the entries of @p slots; all of them if it is empty. */
    dispatch_transfer exportSlots(const std::vector<hash_slot> &slots) const;
    /** Adds entries of another home for @p slots (all if empty), which that home has recorded since transfer.knownSince. */
    void importSlots(const dispatch_transfer &transfer, const std::vector<hash_slot> &slots);

    std::size_t size() const noexcept;
    std::uint64_t answerBytes() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
