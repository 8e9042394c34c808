#pragma once

#include "base/ids.h"

namespace sycamoretray::detail
{

/** Returns the place of @p instance, from 0 to 1, in an order in which instances act one after another. Thread-safe. */
double placeOf(const instance_id &instance);

} // namespace sycamoretray::detail
