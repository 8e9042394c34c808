#pragma once

#include "base/ids.h"
#include "key_ownership/ownership_view.h"
#include "permits/coordinator_ranking.h"

#include <optional>

namespace sycamoretray
{

/**
 * Returns the relay from which the relay at address @p self reads topics on a large site. This is the assigner, which is the relay of its
 * own zone and writes most of the records. Returns nothing if the relay has to read the store itself: the site is not large, no assigner
 * is known, or @p self is the assigner. Thread-safe.
 */
std::optional<network_address> upstreamRelay(const ownership_view &ownership, const coordinator_candidates &instances, const network_address &self);

} // namespace sycamoretray
