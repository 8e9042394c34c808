#include "metadata_store/relay_standby.h"

#include <xxhash.h>

namespace sycamoretray
{

namespace
{

// A relay of a large zone, and an assigner of hundreds of endpoints, need more than a tenth of a core.
constexpr double candidateShare = 0.2;
// A lost relay is replaced by a candidate within the time to live of the zone's group, 2 s.
constexpr time_span shortestDelay = std::chrono::milliseconds(2500);
// Instances step in spread over this time, so that the first ones spare the others the calls of the store.
constexpr time_span spread = std::chrono::milliseconds(5000);
// Reserves stay for this time after the relay works again.
constexpr time_span stay = std::chrono::milliseconds(6000);

time_span delayOf(const instance_id &instance)
{
    const std::string &name = instance.value();
    constexpr std::uint64_t steps = 1024;
    return shortestDelay + spread * static_cast<std::int64_t>(XXH64(name.data(), name.size(), 0) % steps) / static_cast<std::int64_t>(steps);
}

} // namespace

bool isRelayCandidate(double processorShare) noexcept
{
    return processorShare >= candidateShare;
}

relay_standby::relay_standby(const instance_id &instance, double processorShare, monotonic_time started)
    : m_candidate(isRelayCandidate(processorShare))
    , m_started(started)
    , m_delay(delayOf(instance))
{
}

bool relay_standby::participates(const relay_status &relay, monotonic_time now)
{
    if (m_candidate) {
        return true;
    }
    const bool missing = !relay.known && now - m_started >= m_delay;
    if (missing || relay.failing >= m_delay) {
        m_lastNeeded = now;
    }
    return m_lastNeeded && now - *m_lastNeeded < stay;
}

} // namespace sycamoretray
