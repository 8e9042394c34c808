#pragma once

#include "dispatch/server_dispatcher.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace sycamoretray
{

/**
 * Requests that wait for the at-most-once memory of slots that another home just gave away.
 *
 * The memory of a planned move arrives shortly after the routing table that announces the move. Until then nothing is known
 * about ids from before the move.
 *
 * Thread safety: none.
 */
class memory_wait
{
public:
    /** Memory for @p slots (all if empty) may arrive until @p until. */
    void expect(const std::vector<hash_slot> &slots, monotonic_time until);

    /** Memory for @p slots (all if empty) has arrived. */
    void arrived(const std::vector<hash_slot> &slots);

    bool isExpected(hash_slot slot, monotonic_time now) const;

    void add(dispatch_request request);

    /** Removes and returns the requests whose memory has arrived or is late, and those whose deadline has passed. */
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
