#pragma once

#include "placement/slot_owners.h"

namespace sycamoretray
{

/** Baseline: each slot is assigned to the eligible server with the highest hash of (slot, server). */
class rendezvous_policy
{
public:
    /** Assigns each slot without owner to the eligible server with the highest hash. Thread-safe. */
    slot_owners fillUnowned(const slot_owners &owners, const placement_servers &servers) const;

    /** Returns the table that results from the hashes alone, regardless of the present owners. Thread-safe. */
    slot_owners balance(const slot_owners &owners, const placement_servers &servers) const;
};

} // namespace sycamoretray
