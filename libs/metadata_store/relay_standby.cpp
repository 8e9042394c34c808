#include "metadata_store/relay_standby.h"

#include <xxhash.h>

namespace sycamoretray
{

namespace
{

// A relay of a large zone, and an assigner of hundreds of endpoints, needs more than 0.1 cores.
constexpr double minCandidateCores = 0.2;
// A candidate replaces a lost relay within 2 s, the time to live of a member of the zone's group.
constexpr time_span minJoinDelay = std::chrono::milliseconds(2500);
// The standbys' delays are spread over this time, so that most standbys need no call of the store once the first ones have joined.
constexpr time_span joinDelaySpread = std::chrono::milliseconds(5000);
// Standbys stay members for this time after the relay works again.
constexpr time_span leaveDelay = std::chrono::milliseconds(6000);

time_span joinDelayOf(const instance_id &instance)
{
    const std::string &name = instance.value();
    constexpr std::uint64_t steps = 1024;
    return minJoinDelay + joinDelaySpread * static_cast<std::int64_t>(XXH64(name.data(), name.size(), 0) % steps) / static_cast<std::int64_t>(steps);
}

} // namespace

bool isRelayCandidate(double processorShare) noexcept
{
    return processorShare >= minCandidateCores;
}

relay_standby::relay_standby(const instance_id &instance, double processorShare, monotonic_time startedAt)
    : m_candidate(isRelayCandidate(processorShare))
    , m_startedAt(startedAt)
    , m_joinDelay(joinDelayOf(instance))
{
}

bool relay_standby::participates(const relay_status &relay, monotonic_time now)
{
    if (m_candidate) {
        return true;
    }
    const bool relayMissing = !relay.known && now - m_startedAt >= m_joinDelay;
    if (relayMissing || relay.failingFor >= m_joinDelay) {
        m_lastNeededAt = now;
    }
    return m_lastNeededAt && now - *m_lastNeededAt < leaveDelay;
}

} // namespace sycamoretray
