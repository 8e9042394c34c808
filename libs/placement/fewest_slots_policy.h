#pragma once

#include "placement/slot_owners.h"

namespace sycamoretray
{

/** Moves as few slots as possible; the slot counts of eligible servers differ by at most one. Used in production. */
class fewest_slots_policy
{
public:
    /** Assigns each slot without owner to the eligible server with the fewest slots; ties go to the lower index. Thread-safe. */
    slot_owners fillUnowned(const slot_owners &owners, const placement_servers &servers) const;

    /**
     * Returns the balanced table that differs from @p owners in as few slots as possible: servers above their target count give
     * their highest slots to servers below it, and ineligible servers give all slots. Givers and receivers are paired in index
     * order, so that a plan computed again after part of it was carried out still contains the rest of it. Thread-safe.
     */
    slot_owners balance(const slot_owners &owners, const placement_servers &servers) const;
};

} // namespace sycamoretray
