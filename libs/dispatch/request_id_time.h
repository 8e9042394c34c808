#pragma once

#include "base/monotonic_time.h"

#include <optional>
#include <string_view>

namespace sycamoretray
{

/**
 * Returns the creation time encoded in a UUID version 7, or nothing if @p text is not the 36-character form of such
 * a UUID. Thread-safe.
 */
std::optional<wall_time> creationTimeOfRequestId(std::string_view text) noexcept;

} // namespace sycamoretray
