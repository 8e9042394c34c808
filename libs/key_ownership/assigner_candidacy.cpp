#include "key_ownership/assigner_candidacy.h"

#include "key_ownership/detail/instance_place.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// While another instance assigns, an instance with an unstable path does not change the group with each interruption.
constexpr time_span stablePathTime = std::chrono::milliseconds(2000);
// Relays join as soon as they know of a resignation, at the latest after 0.33 s. An instance that reads the store for itself learns of their claim up to
// 0.4 s later.
constexpr time_span minStandInDelay = std::chrono::milliseconds(450);
// Added for each instance of the site, so that few join before the first of them assigns.
constexpr time_span standInSpacing = std::chrono::milliseconds(30);
// Instances with little processor stand in last.
constexpr time_span notPreferredDelay = std::chrono::milliseconds(500);
// Members that stand in remain for this time after another instance assigns.
constexpr time_span standInTime = std::chrono::milliseconds(6000);

} // namespace

assigner_candidacy::assigner_candidacy(const instance_id &instance, bool preferred)
    : m_place(detail::placeOf(instance))
    , m_preferred(preferred)
{
}

void assigner_candidacy::setIsolated(bool isolated, monotonic_time now)
{
    if (m_isolated == isolated) {
        return;
    }
    m_isolated = isolated;
    m_pathStable = false;
    m_standInNeededAt.reset();
    m_reachableSince = now;
}

bool assigner_candidacy::isIsolated() const noexcept
{
    return m_isolated;
}

bool assigner_candidacy::participates(const assigner_status &status, monotonic_time now)
{
    if (status.assigned) {
        m_unassignedSince.reset();
    } else if (!m_unassignedSince) {
        m_unassignedSince = now;
    }
    if (m_isolated) {
        return false;
    }
    m_pathStable = m_pathStable || !status.assigned || now - m_reachableSince >= stablePathTime;
    return m_pathStable && (status.relay || standsIn(status, now));
}

bool assigner_candidacy::standsIn(const assigner_status &status, monotonic_time now)
{
    // Many instances may have been isolated together. They join one after another as well.
    const time_span waited = std::min(unassignedFor(now), now - m_reachableSince);
    if ((status.leads && m_standInNeededAt) || waited >= standInDelay(status.instances)) {
        m_standInNeededAt = now;
    }
    return m_standInNeededAt && now - *m_standInNeededAt < standInTime;
}

time_span assigner_candidacy::standInDelay(std::size_t instances) const
{
    const auto spread = std::chrono::duration_cast<time_span>(standInSpacing * (m_place * static_cast<double>(instances)));
    return minStandInDelay + spread + (m_preferred ? time_span::zero() : notPreferredDelay);
}

time_span assigner_candidacy::unassignedFor(monotonic_time now) const noexcept
{
    return m_unassignedSince ? now - *m_unassignedSince : time_span::zero();
}

} // namespace sycamoretray
