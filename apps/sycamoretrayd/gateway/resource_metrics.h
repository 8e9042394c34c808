#pragma once

#include "http_message/resource_budget.h"
#include "observability/metrics.h"

namespace sycamoretray
{

/**
 * Registers metrics of what @p budget counts, and writes a log line for each of its decisions. Both objects must live until the last use of
 * either. Thread safety: as for the budget.
 */
void reportResources(resource_budget &budget, metrics_registry &metrics);

} // namespace sycamoretray
