#pragma once

#include "dispatch/fair_queue.h"
#include "dispatch/run_time_table.h"

#include <array>
#include <bitset>
#include <vector>

namespace sycamoretray
{

/**
 * Waiting requests: in the queues for short and for long requests, for the release of a held slot, for a retry, or, as a
 * suspect, to run alone.
 *
 * The caller owns the requests. Thread safety: none.
 */
class request_backlog
{
public:
    explicit request_backlog(const run_time_table &runTimes);
    ~request_backlog();
    request_backlog(const request_backlog &) = delete;
    request_backlog &operator=(const request_backlog &) = delete;

    /** Queues a request, or holds it if its slot is held. */
    void add(pending_request &request);
    /** Adds a suspected request, which must run alone. */
    void addSuspect(pending_request &request);
    /** Adds a request that is retried at its retryAt. */
    void addRetry(pending_request &request);
    /** Counts a duplicate, which waits for its primary request. */
    void addDuplicate(pending_request &request);

    /** Precondition: the request waits here. */
    void remove(pending_request &request);

    /** Removes and returns the next request to dispatch, or nullptr. Long requests only if @p longAllowed. */
    pending_request *next(bool longAllowed);

    pending_request *firstSuspect() noexcept;
    /** Removes and returns a request whose retry is due, or nullptr. */
    pending_request *takeDueRetry(monotonic_time now);

    void hold(const std::vector<hash_slot> &slots);
    void release(const std::vector<hash_slot> &slots);
    bool isHeld(hash_slot slot) const noexcept;

    /** Appends every waiting request except the duplicates. */
    void collect(std::vector<pending_request *> &requests);

    fair_queue &queue(bool isLong) noexcept;
    const fair_queue &queue(bool isLong) const noexcept;

    std::uint32_t count() const noexcept
    {
        return m_count;
    }
    std::uint64_t bytes() const noexcept
    {
        return m_bytes;
    }
    /** True if both queues are empty. */
    bool hasNoReadyRequest() const noexcept;

private:
    void enqueue(pending_request &request);
    pending_request *pop(bool isLong);
    void addToTotals(const pending_request &request) noexcept;
    void subtractFromTotals(const pending_request &request) noexcept;

    const run_time_table &m_runTimes;
    std::array<fair_queue, 2> m_queues;
    pending_list m_held;
    pending_list m_suspects;
    retry_queue m_retries;
    std::bitset<hashSlotCount> m_heldSlots;
    std::uint32_t m_count = 0;
    std::uint64_t m_bytes = 0;
    /** Run time granted to long requests for the short ones that were dispatched while they waited. */
    time_span m_longCredit{};
};

} // namespace sycamoretray
