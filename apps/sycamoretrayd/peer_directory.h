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
 * Addresses of the other instances and the times at which they were last heard.
 *
 * An instance stays known for a while after it left, because it still waits for answers then.
 *
 * Thread safety: any thread.
 */
class peer_directory
{
public:
    /** Replaces the addresses in force. */
    void update(const std::map<incarnation_id, network_address> &peers, monotonic_time now);

    /** Counts a message from @p peer. */
    void heard(const incarnation_id &peer, monotonic_time now);

    std::optional<network_address> addressOf(const incarnation_id &peer) const;

    /** The instances in force. */
    std::vector<std::pair<incarnation_id, network_address>> current() const;

    /** Instances in force and those that left a short time ago. */
    std::set<incarnation_id> known() const;

    /** Returns the instances that have been silent for longer than @p limit, and that were heard before. */
    std::vector<incarnation_id> silentSince(time_span limit, monotonic_time now) const;

private:
    struct entry {
        network_address address;
        monotonic_time lastHeard{};
        monotonic_time leftAt = monotonic_time::max();
    };

    mutable std::mutex m_mutex;
    std::map<incarnation_id, entry> m_peers;
};

} // namespace sycamoretray
