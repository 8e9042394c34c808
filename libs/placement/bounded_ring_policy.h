#pragma once

#include "placement/slot_owners.h"

namespace sycamoretray
{

/** Baseline: consistent hashing with bounded loads. No server gets more than 1.25 times the mean number of slots. */
class bounded_ring_policy
{
public:
    /** Assigns each slot without owner to the next server on the ring that is below the bound. Thread-safe. */
    slot_owners fillUnowned(const slot_owners &owners, const placement_servers &servers) const;

    /** Returns the table that results from the ring alone, regardless of the present owners. Thread-safe. */
    slot_owners balance(const slot_owners &owners, const placement_servers &servers) const;
};

} // namespace sycamoretray
