#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace sycamoretray
{

/**
 * Addresses of the other instances and the times of their last messages.
 *
 * An instance stays known for some time after it left the routing table, because it may still wait for answers.
 *
 * Thread safety: any thread.
 */
class peer_directory
{
public:
    /** Replaces the current instances and their addresses. */
    void update(const std::map<incarnation_id, network_address> &peers, monotonic_time now);

    /** Records that a message from @p peer arrived. */
    void recordMessage(const incarnation_id &peer, monotonic_time now);

    std::optional<network_address> addressOf(const incarnation_id &peer) const;

    /** The instances in the current routing table. */
    std::vector<std::pair<incarnation_id, network_address>> current() const;

    /** Current instances and those that left a short time ago. */
    std::set<incarnation_id> known() const;

    /** Returns the known instances whose last message is older than @p limit; those that never sent one are not included. */
    std::vector<incarnation_id> unresponsiveFor(time_span limit, monotonic_time now) const;

private:
    struct entry {
        network_address address;
        /** Epoch if no message arrived yet. */
        monotonic_time lastMessageAt{};
        /** max() while the instance is current. */
        monotonic_time leftAt = monotonic_time::max();
    };

    mutable std::mutex m_mutex;
    std::map<incarnation_id, entry> m_peers;
};

} // namespace sycamoretray
