#pragma once

#include "base/monotonic_time.h"
#include "permits/coordinator_ranking.h"

#include <map>
#include <optional>

namespace sycamoretray
{

/**
 * Tracks the instances of a zone that read from its relay, and decides when their list is published again.
 *
 * Publications are rate-limited, because each record costs work at every relay. A list that still names a lost instance does
 * little harm: the instances that ask it for permits detect the loss themselves.
 *
 * Thread safety: none.
 */
class instance_list_tracker
{
public:
    /** Resets the state to the instances of the published list, with @p now as the time of their last read. */
    void start(const std::vector<coordinator_candidate> &published, monotonic_time now);

    /** Records that @p instance is running. @param weight  weight of a coordinator candidate; 0 if the instance is about to stop */
    void recordSeen(const network_address &instance, double weight, monotonic_time now);

    /** Returns the list if it differs from @p published and the publish interval is over; nothing otherwise. */
    std::optional<std::vector<coordinator_candidate>> takeListToPublish(const std::vector<coordinator_candidate> &published, monotonic_time now);

private:
    struct known_instance {
        double weight = 1;
        monotonic_time lastSeen{};
    };
    std::vector<coordinator_candidate> current(monotonic_time now) const;

    std::map<network_address, known_instance> m_instances;
    std::optional<monotonic_time> m_lastPublished;
};

} // namespace sycamoretray
