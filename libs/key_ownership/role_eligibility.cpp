#include "key_ownership/role_eligibility.h"

namespace sycamoretray
{

namespace
{

// Relays that are not isolated learn within 0.33 s that the assigner has resigned. Only if none takes over, the relays change.
constexpr time_span successorWait = std::chrono::milliseconds(350);
// A member of the group gets the role of the relay within 0.67 s; a standby joins within 2 s.
constexpr time_span longestAside = std::chrono::milliseconds(2000);
// While another instance assigns, an instance with an unstable path does not change the group with each interruption.
constexpr time_span stablePathTime = std::chrono::milliseconds(2000);

} // namespace

void role_eligibility::setIsolated(bool isolated, monotonic_time now)
{
    if (m_isolated == isolated) {
        return;
    }
    m_isolated = isolated;
    m_unassignedSince.reset();
    m_relayStance = relay_stance::takes_part;
    if (isolated) {
        m_mayAssign = false;
    } else {
        m_reachableSince = now;
    }
}

void role_eligibility::update(bool assignerKnown, monotonic_time now)
{
    if (assignerKnown) {
        m_unassignedSince.reset();
    } else if (!m_unassignedSince) {
        m_unassignedSince = now;
    }
    if (m_isolated) {
        updateRelayStance(assignerKnown, now);
    } else if (!assignerKnown || now - m_reachableSince >= stablePathTime) {
        m_mayAssign = true;
    }
}

void role_eligibility::updateRelayStance(bool assignerKnown, monotonic_time now)
{
    switch (m_relayStance) {
    case relay_stance::takes_part:
        if (m_unassignedSince && now - *m_unassignedSince >= successorWait) {
            m_relayStance = relay_stance::stands_aside;
            m_asideSince = now;
        }
        break;
    case relay_stance::stands_aside:
        if (now - m_asideSince >= longestAside) {
            m_relayStance = relay_stance::takes_part_again;
        }
        break;
    case relay_stance::takes_part_again:
        if (assignerKnown) {
            m_relayStance = relay_stance::takes_part;
        }
        break;
    }
}

time_span role_eligibility::unassignedFor(monotonic_time now) const noexcept
{
    return m_isolated || !m_unassignedSince ? time_span::zero() : now - *m_unassignedSince;
}

bool role_eligibility::isIsolated() const noexcept
{
    return m_isolated;
}

bool role_eligibility::mayAssign() const noexcept
{
    return m_mayAssign;
}

bool role_eligibility::mayRelay() const noexcept
{
    return m_relayStance != relay_stance::stands_aside;
}

} // namespace sycamoretray
