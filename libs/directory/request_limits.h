#pragma once

#include "base/monotonic_time.h"

#include <chrono>
#include <cstdint>

namespace sycamoretray
{

/** Limits on what a caller may send, and how long it may take or stay idle, as the operator's configuration names them. */
struct request_limits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 64ULL * 1024 * 1024;
    /** Time for a complete header after its first byte. */
    time_span headerTimeout = std::chrono::seconds(3);
    /** Time for which a connection may stay open without a request. */
    time_span idleTimeout = std::chrono::seconds(60);
};

} // namespace sycamoretray
