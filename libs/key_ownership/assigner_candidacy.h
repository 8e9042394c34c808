#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <cstddef>
#include <optional>

namespace sycamoretray
{

/** What an instance knows about the assigner and its own roles. */
struct assigner_status {
    /** This or another instance assigns keys, or no keys were ever assigned. */
    bool assigned = true;
    /** This instance is the assigner. */
    bool leads = false;
    /** This instance is the relay of its zone. */
    bool relay = false;
    /** Number of instances of the site, as far as known. */
    std::size_t instances = 1;
};

/**
 * Decides whether an instance takes part in the election of the assigner. The relays do. An instance that is isolated does not, because the
 * assigner needs a path to the endpoints. While no relay takes over, the other instances stand in: they join one after another, and leave some time
 * after another instance assigns. They do not join all at once, because each change of the members makes the store choose the assigner anew.
 *
 * Performs no I/O. Thread safety: none.
 */
class assigner_candidacy
{
public:
    /** @param preferred  whether the instance has enough processor for the role; the others stand in later */
    assigner_candidacy(const instance_id &instance, bool preferred);

    /** Reports that this instance has become isolated, or that it is so no longer. */
    void setIsolated(bool isolated, monotonic_time now);

    bool isIsolated() const noexcept;

    /** Returns whether this instance has to take part in the election. Call it regularly. */
    bool participates(const assigner_status &status, monotonic_time now);

    /** For how long no instance has assigned keys, as far as this instance knows. */
    time_span unassignedFor(monotonic_time now) const noexcept;

private:
    time_span standInDelay(std::size_t instances) const;
    bool standsIn(const assigner_status &status, monotonic_time now);

    /** Place of this instance in the order in which instances stand in, from 0 to 1. */
    double m_place;
    bool m_preferred;
    bool m_isolated = false;
    /** The path to the endpoints was stable, or nobody assigned, since the isolation ended. */
    bool m_pathStable = true;
    /** When the isolation last ended. */
    monotonic_time m_reachableSince{};
    std::optional<monotonic_time> m_unassignedSince;
    std::optional<monotonic_time> m_standInNeededAt;
};

} // namespace sycamoretray
