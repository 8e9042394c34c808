#pragma once

#include "directory/endpoint_entry.h"

#include <map>
#include <vector>

namespace sycamoretray::detail
{

/**
 * Which endpoints answer orders.
 *
 * An endpoint is out of contact after two orders in a row without an answer, until it answers again.
 *
 * Thread safety: none.
 */
class endpoint_contact
{
public:
    explicit endpoint_contact(time_span probeInterval);

    void answered(const endpoint_life &life);
    void failed(const endpoint_life &life, monotonic_time now);

    bool isLost(const endpoint_life &life) const;

    /** Returns the endpoints out of contact that are to be probed now, and counts them as probed. */
    std::vector<endpoint_life> dueProbes(monotonic_time now);

    void forget(const endpoint_life &life);

private:
    struct failures {
        std::uint32_t count = 0;
        monotonic_time nextProbe;
    };
    time_span m_probeInterval;
    std::map<endpoint_life, failures> m_failures;
};

} // namespace sycamoretray::detail
