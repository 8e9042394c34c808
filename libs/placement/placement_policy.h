#pragma once

#include "placement/bounded_ring_policy.h"
#include "placement/fewest_slots_policy.h"
#include "placement/rendezvous_policy.h"

#include <variant>

namespace sycamoretray
{

/** fewest_slots_policy is used in production; the others are baselines for measurements. */
using placement_policy = std::variant<fewest_slots_policy, bounded_ring_policy, rendezvous_policy>;

/** Assigns each slot without owner to an eligible server; other slots keep their owners. Thread-safe. */
slot_owners fillUnowned(const placement_policy &policy, const slot_owners &owners, const placement_servers &servers);

/** Returns the target table of the policy. Thread-safe. */
slot_owners balance(const placement_policy &policy, const slot_owners &owners, const placement_servers &servers);

} // namespace sycamoretray
