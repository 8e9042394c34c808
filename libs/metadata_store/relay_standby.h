#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <optional>

namespace sycamoretray
{

/** An instance with this processor share, in cores, reads the store for its zone if it is chosen. Thread-safe. */
bool isRelayCandidate(double processorShare) noexcept;

/** What an instance sees of the relay of its zone. */
struct relay_status {
    bool known = false;
    /** How long the relay has failed while the store answers this instance; 0 if it does not fail. */
    time_span failing{};
};

/**
 * Says whether an instance takes part in the choice of its zone's relay. Candidates always do. The others step in one after another
 * while the zone has no relay that works, and leave some time after it has one: each that joins or leaves makes the store deal the relay
 * anew, which interrupts the zone's reading.
 *
 * Thread safety: none.
 */
class relay_standby
{
public:
    relay_standby(const instance_id &instance, double processorShare, monotonic_time started);

    /** Call it regularly. */
    bool participates(const relay_status &relay, monotonic_time now);

private:
    bool m_candidate;
    monotonic_time m_started;
    /** Time without a relay after which this instance steps in. */
    time_span m_delay;
    std::optional<monotonic_time> m_lastNeeded;
};

} // namespace sycamoretray
