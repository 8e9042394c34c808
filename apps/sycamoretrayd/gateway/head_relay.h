#pragma once

#include "base/ids.h"
#include "key_ownership/ownership_view.h"
#include "permits/keeper_ranking.h"

#include <optional>

namespace sycamoretray
{

/**
 * Returns the relay from which the relays of other zones read: the assigner, which is the relay of its zone and writes most of the
 * records. Nothing if the site is not large, if no assigner is known, or if @p self is it; then the relay reads the store. Thread-safe.
 */
std::optional<network_address> headRelay(const ownership_view &ownership, const keeper_candidates &instances, const network_address &self);

} // namespace sycamoretray
