#pragma once

#include "dispatch/server_dispatcher.h"

#include <memory>
#include <vector>

namespace sycamoretray
{

/** What the at-most-once memory says about a request id. */
enum class duplicate_verdict {
    /** The id was not seen and may run; it is now remembered as open. */
    fresh,
    /** A request with the id is queued or running; see duplicate_lookup::primary. */
    open,
    /** The id must not run again; duplicate_lookup::code and answer are the outcome for the caller. */
    settled,
    /** The id may not run because it could not be remembered. */
    full,
};

struct duplicate_lookup {
    duplicate_verdict verdict = duplicate_verdict::fresh;
    dispatch_id primary;
    result_code code = result_code::ok;
    std::shared_ptr<const answer_payload> answer;
};

/**
 * At-most-once memory of one home: ids of non-idempotent requests with their outcome.
 *
 * An id is identified by (request id, key). Bounded in ids and in bytes of kept answers; the oldest answers are dropped
 * first. An id is forgotten when it is older than the window, after which it counts as expired and never runs.
 *
 * Thread safety: none.
 */
class duplicate_table
{
public:
    duplicate_table(const dispatcher_settings &settings, wall_time startedAt);
    ~duplicate_table();
    duplicate_table(duplicate_table &&) noexcept;
    duplicate_table &operator=(duplicate_table &&) noexcept;

    /** Looks up the id of @p request without changing the table. */
    duplicate_lookup find(const dispatch_request &request, wall_time now) const;

    /** Remembers the id as open. Precondition: find() returned fresh for it. */
    void open(const dispatch_request &request);

    /** Changes the request that represents an open id. */
    void replacePrimary(const dispatch_request &request);

    /** Records the outcome of an open id. @p code is ok or of the class unknown. */
    void settle(const dispatch_request &request, result_code code, std::shared_ptr<const answer_payload> answer, std::uint64_t bytes);

    /** Forgets an open id that certainly did not run. */
    void forget(const dispatch_request &request);

    /** Drops ids that are older than the window. The limit never moves back, even if @p now does. */
    void expire(wall_time now);

    dispatch_transfer exportSlots(const std::vector<hash_slot> &slots) const;
    void importSlots(const dispatch_transfer &transfer, const std::vector<hash_slot> &slots);

    std::size_t size() const noexcept;
    std::uint64_t answerBytes() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
