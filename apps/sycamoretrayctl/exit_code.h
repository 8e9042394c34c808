#pragma once

#include "base/result_code.h"

#include <system_error>

namespace sycamoretray
{

/** Exit codes of sycamoretrayctl; docs/commands.md lists them. */
enum class exit_code {
    success = 0,
    refused = 1,
    usage = 2,
    version_conflict = 3,
    unavailable = 4,
    unsettled = 5,
    unauthorized = 6,
    not_found = 7,
    instances_disagree = 8,
};

/** Returns the exit code for an error of the administration API. Thread-safe. */
exit_code exitCodeOf(const std::error_code &error) noexcept;

} // namespace sycamoretray
