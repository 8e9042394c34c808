#pragma once

#include "placement/slot_owners.h"

namespace sycamoretray
{

/** Baseline: consistent hashing with bounded loads. No server gets more than 1.25 times the mean. */
class bounded_ring_policy
{
public:
    /** Gives each slot without owner to the next server on the ring that is below its bound. Thread-safe. */
    slot_owners fillUnowned(const slot_owners &owners, const placement_servers &servers) const;

    /** Returns the table that follows from the ring alone. Thread-safe. */
    slot_owners balance(const slot_owners &owners, const placement_servers &servers) const;
};

} // namespace sycamoretray
