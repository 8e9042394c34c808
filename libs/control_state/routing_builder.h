#pragma once

#include "control_state/control_state.h"
#include "routing/routing_table.h"

#include <memory>

namespace sycamoretray
{

/** Builds the workers' view of @p state. Thread-safe on a constant state. */
std::shared_ptr<const routing_table> buildRoutingTable(const control_state &state);

} // namespace sycamoretray
