#pragma once

#include "base/strong_value.h"

namespace sycamoretray
{

/** A number of requests per second. */
using request_rate = strong_value<struct request_rate_tag, double>;

} // namespace sycamoretray
