#include "key_ownership/detail/responsiveness_tracker.h"

namespace sycamoretray::detail
{

namespace
{

// A single failure may be an idle connection that the endpoint closed, or a lost answer.
constexpr std::uint32_t failuresUntilUnresponsive = 2;

} // namespace

responsiveness_tracker::responsiveness_tracker(time_span probeInterval)
    : m_probeInterval(probeInterval)
{
}

void responsiveness_tracker::answered(const endpoint_incarnation &incarnation)
{
    m_failures.erase(incarnation);
}

void responsiveness_tracker::failed(const endpoint_incarnation &incarnation, monotonic_time now)
{
    failures &known = m_failures[incarnation];
    ++known.count;
    known.nextProbe = now + m_probeInterval;
}

bool responsiveness_tracker::isUnresponsive(const endpoint_incarnation &incarnation) const
{
    const auto found = m_failures.find(incarnation);
    return found != m_failures.end() && found->second.count >= failuresUntilUnresponsive;
}

std::vector<endpoint_incarnation> responsiveness_tracker::dueProbes(monotonic_time now)
{
    std::vector<endpoint_incarnation> due;
    for (auto &[incarnation, known] : m_failures) {
        if (known.count >= failuresUntilUnresponsive && now >= known.nextProbe) {
            known.nextProbe = now + m_probeInterval;
            due.push_back(incarnation);
        }
    }
    return due;
}

void responsiveness_tracker::forget(const endpoint_incarnation &incarnation)
{
    m_failures.erase(incarnation);
}

} // namespace sycamoretray::detail
