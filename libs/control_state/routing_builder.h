#pragma once

#include "control_state/control_state.h"
#include "routing/routing_table.h"

#include <memory>

namespace sycamoretray
{

/** Builds the routing table that the worker threads use from @p state. Thread-safe while @p state does not change. */
std::shared_ptr<const routing_table> buildRoutingTable(const control_state &state);

} // namespace sycamoretray
