#pragma once

#include "base/monotonic_time.h"

#include <optional>

namespace sycamoretray
{

/**
 * Decides whether an instance may be the assigner and the relay of its zone, from whether it is isolated.
 *
 * The assigner needs a path to the endpoints, so an isolated instance is not. The relay needs none, but the assigner is elected among the relays:
 * an isolated instance leaves the election of its zone's relay while no instance assigns, so that one that can becomes the relay. If none does,
 * all instances of the zone are isolated, and it takes part again, because otherwise each of them would read the store itself.
 *
 * Performs no I/O. Thread safety: none.
 */
class role_eligibility
{
public:
    /** Reports that this instance has become isolated, or that it is isolated no longer. */
    void setIsolated(bool isolated, monotonic_time now);

    /** Updates the decision. Call it regularly. @param assignerKnown  whether this or another instance is known to assign keys */
    void update(bool assignerKnown, monotonic_time now);

    bool isIsolated() const noexcept;

    /** Whether this instance may be the assigner and stand for it. */
    bool mayAssign() const noexcept;

    /** Whether this instance may be the relay of its zone and stand for it. */
    bool mayRelay() const noexcept;

    /** How long no instance has assigned keys, as far as this instance knows; 0 while it is isolated. */
    time_span unassignedFor(monotonic_time now) const noexcept;

private:
    enum class relay_stance {
        takes_part,
        stands_aside,
        /** Nobody has taken over; takes part until the isolation ends, or until an assigner was known and lost again. */
        takes_part_again,
    };

    void updateRelayStance(bool assignerKnown, monotonic_time now);

    bool m_isolated = false;
    bool m_mayAssign = true;
    /** When the isolation last ended. */
    monotonic_time m_reachableSince{};
    /** Since when no instance assigns, counted from the last change of the isolation at the earliest. */
    std::optional<monotonic_time> m_unassignedSince;
    relay_stance m_relayStance = relay_stance::takes_part;
    monotonic_time m_asideSince{};
};

} // namespace sycamoretray
