#pragma once

#include "controller/controller_actions.h"
#include "controller/controller_events.h"
#include "drifting_clock.h"

#include <bitset>
#include <optional>
#include <set>
#include <string>

namespace sycamoretray::harness
{

using slot_set = std::bitset<hashSlotCount>;

/**
 * One boot of a simulated server that follows the lease rules of docs/protocols.md, on its own clock.
 *
 * Thread safety: none.
 */
class fake_server
{
public:
    fake_server(server_id server, std::string bootId, drifting_clock clock);

    /** Handles a lease request that arrives at @p trueNow. */
    lease_reply handleLease(const send_lease &request, monotonic_time trueNow);

    /** True if the server would start a request for one of its slots now. Also true for a frozen process, which may resume at any moment. */
    bool holdsLease(monotonic_time trueNow) const;

    /** Slots that the server owns; it serves them only while it holds an unexpired lease. */
    const slot_set &slots() const;

    /** Returns a slot or key that both processes own, or nothing if there is none. Does not consider leases. */
    std::optional<std::string> commonKey(const fake_server &other) const;

    /** True if the server owns @p key. Does not consider leases. */
    bool serves(std::string_view key) const;

    const server_id &server() const;
    const std::string &bootId() const;
    home_term term() const;
    const drifting_clock &clock() const;

private:
    void replaceOwnership(const ownership_set &ownership);
    /** Time in the challenge on the local clock, or nothing if this boot did not issue it. */
    std::optional<monotonic_time> challengeTime(const std::string &challenge) const;

    server_id m_server;
    std::string m_bootId;
    drifting_clock m_clock;
    home_term m_highestTerm;
    home_term m_heldTerm;
    monotonic_time m_leaseEnd{};
    std::uint64_t m_ownershipVersion = 0;
    slot_set m_slots;
    std::set<std::string, std::less<>> m_extraKeys;
    std::set<std::string, std::less<>> m_exceptKeys;
};

} // namespace sycamoretray::harness
