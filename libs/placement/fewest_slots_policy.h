#pragma once

#include "placement/slot_owners.h"

namespace sycamoretray
{

/** Moves as few slots as possible and keeps slot counts within one of each other. Used in production. */
class fewest_slots_policy
{
public:
    /** Gives each slot without owner to the eligible server with the fewest slots; ties go to the lower index. Thread-safe. */
    slot_owners fillUnowned(const slot_owners &owners, const placement_servers &servers) const;

    /**
     * Returns the balanced table that differs from @p owners in as few slots as possible: servers above their share give
     * their highest slots to servers below, ineligible servers give all. Surplus and need are paired in index order, so that a
     * plan computed again after part of it was carried out still contains the rest of it. Thread-safe.
     */
    slot_owners balance(const slot_owners &owners, const placement_servers &servers) const;
};

} // namespace sycamoretray
