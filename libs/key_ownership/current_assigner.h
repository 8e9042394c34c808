#pragma once

#include "key_ownership/ownership_view.h"

#include <optional>

namespace sycamoretray
{

/**
 * Returns the internal address of the assigner with the newest epoch; nothing if it has stopped for all services that it assigned, or if there are
 * no records. Thread-safe.
 */
std::optional<network_address> currentAssigner(const ownership_view &ownership);

} // namespace sycamoretray
