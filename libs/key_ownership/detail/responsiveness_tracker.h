#pragma once

#include "directory/endpoint_entry.h"

#include <map>
#include <vector>

namespace sycamoretray::detail
{

/**
 * Tracks which endpoints answer orders.
 *
 * An endpoint is unresponsive after two consecutive orders without an answer, until it answers again.
 *
 * Thread safety: none.
 */
class responsiveness_tracker
{
public:
    explicit responsiveness_tracker(time_span probeInterval);

    void answered(const endpoint_incarnation &incarnation);
    void failed(const endpoint_incarnation &incarnation, monotonic_time now);

    bool isUnresponsive(const endpoint_incarnation &incarnation) const;

    /** Returns the unresponsive endpoints whose probe is due, and schedules their next probe. */
    std::vector<endpoint_incarnation> dueProbes(monotonic_time now);

    void forget(const endpoint_incarnation &incarnation);

private:
    struct failures {
        std::uint32_t count = 0;
        monotonic_time nextProbe;
    };
    time_span m_probeInterval;
    std::map<endpoint_incarnation, failures> m_failures;
};

} // namespace sycamoretray::detail
