#pragma once

#include <string_view>

namespace sycamoretray
{

/**
 * Terminates the process with a log line if @p holds is false. For invariants whose violation would let two servers own
 * a key; going on would be worse than a restart. Thread-safe.
 */
void requireInvariant(bool holds, std::string_view invariant, std::string_view detail);

} // namespace sycamoretray
