#pragma once

#include "base/strong_value.h"

#include <optional>

namespace sycamoretray
{

/** A number of requests per second. */
using request_rate = strong_value<struct request_rate_tag, double>;

/** Returns @p number as a rate; nothing if it is not a number, negative, or beyond any rate that can occur. Thread-safe. */
inline std::optional<request_rate> toRequestRate(double number) noexcept
{
    constexpr double maxRate = 1e9;
    return number >= 0 && number <= maxRate ? std::optional(request_rate(number)) : std::nullopt;
}

} // namespace sycamoretray
