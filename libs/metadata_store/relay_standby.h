#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <optional>

namespace sycamoretray
{

/** Returns whether an instance with this processor share, in cores, always stands for election as the relay of its zone. Thread-safe. */
bool isRelayCandidate(double processorShare) noexcept;

/** State of the relay of the zone, as seen by an instance. */
struct relay_status {
    /** Whether the zone has a relay. */
    bool known = false;
    /** How long the relay has failed while the store answers this instance; 0 if it does not fail. */
    time_span failingFor{};
};

/**
 * Decides whether an instance takes part in the election of its zone's relay. Relay candidates always do. The other instances are standbys:
 * they join one after another while the zone has no working relay, and leave some time after it has one again. They neither join nor leave
 * all at once, because each change of the members makes the store reassign the relay, which interrupts the reads of the zone.
 *
 * Thread safety: none.
 */
class relay_standby
{
public:
    relay_standby(const instance_id &instance, double processorShare, monotonic_time startedAt);

    /** Returns whether this instance has to be a member of the election group. Call it regularly. */
    bool participates(const relay_status &relay, monotonic_time now);

private:
    bool m_candidate;
    monotonic_time m_startedAt;
    /** Time without a working relay after which this instance joins. */
    time_span m_joinDelay;
    std::optional<monotonic_time> m_lastNeededAt;
};

} // namespace sycamoretray
