#pragma once

#include "placement/slot_owners.h"

namespace sycamoretray
{

/** Baseline: each slot goes to the eligible server with the highest hash of (slot, server). */
class rendezvous_policy
{
public:
    /** Gives each slot without owner to its server of the highest hash. Thread-safe. */
    slot_owners fillUnowned(const slot_owners &owners, const placement_servers &servers) const;

    /** Returns the table that follows from the hashes alone. Thread-safe. */
    slot_owners balance(const slot_owners &owners, const placement_servers &servers) const;
};

} // namespace sycamoretray
