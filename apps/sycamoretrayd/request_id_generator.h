#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

namespace sycamoretray
{

/** Returns a new UUID version 7 that carries @p now. Thread-safe. */
request_id generateRequestId(wall_time now);

/** Returns "<instance>#<random hex>". Thread-safe. */
incarnation_id generateIncarnation(const instance_id &instance);

} // namespace sycamoretray
