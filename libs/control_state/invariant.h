#pragma once

#include <string_view>

namespace sycamoretray
{

/**
 * Terminates the process with a log line if @p condition is false. For invariants whose violation could let two servers own
 * the same key, which is worse than a restart. Thread-safe.
 */
void requireInvariant(bool condition, std::string_view invariant, std::string_view detail);

} // namespace sycamoretray
