#pragma once

#include "base/monotonic_time.h"

namespace sycamoretray
{

/** Returns the time of a steady clock that also advances while the machine is suspended. Thread-safe. */
monotonic_time steadyNow() noexcept;

/** Returns the wall-clock time. Thread-safe. */
wall_time wallNow() noexcept;

} // namespace sycamoretray
