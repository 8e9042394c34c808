#pragma once

#include "dispatch/server_dispatcher.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace sycamoretray
{

/**
 * Requests that wait for the deduplication entries of slots that another home has just transferred.
 *
 * The entries of a planned move arrive shortly after the routing table that announces the move. Until then it is unknown
 * whether ids from before the move have run.
 *
 * Thread safety: none.
 */
class transfer_wait_list
{
public:
    /** Entries for @p slots (all if empty) may arrive until @p until. */
    void expect(const std::vector<hash_slot> &slots, monotonic_time until);

    /** Entries for @p slots (all if empty) have arrived. */
    void arrived(const std::vector<hash_slot> &slots);

    bool isExpected(hash_slot slot, monotonic_time now) const;

    void add(dispatch_request request);

    /** Removes and returns the requests whose entries have arrived or are overdue, and those whose deadline has passed. */
    std::vector<dispatch_request> takeReady(monotonic_time now);

    /** Removes and returns the requests for @p slots; all of them if it is empty. */
    std::vector<dispatch_request> take(const std::vector<hash_slot> &slots);

    /** Removes and returns a request. */
    std::optional<dispatch_request> take(dispatch_id id);

    std::size_t size() const noexcept;

private:
    template<class Condition>
    std::vector<dispatch_request> takeIf(Condition condition);

    monotonic_time m_allUntil{};
    std::unordered_map<hash_slot, monotonic_time> m_until;
    std::vector<dispatch_request> m_requests;
};

} // namespace sycamoretray
