#pragma once

#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sycamoretray
{

/** Which endpoints answer the orders of an assigner, and which keys are unserved because their grants were not renewed. */
struct endpoint_reach {
    /** Listed endpoints outside evacuated zones, which may be shut down. */
    std::size_t endpoints = 0;
    /** Those that answer no orders. */
    std::vector<endpoint_id> unresponsive;
    /** Keys whose grant has certainly expired at their owner, although no other endpoint is to get them. */
    std::uint32_t lapsedKeys = 0;

    /** Returns whether more than half of the endpoints answer no orders. */
    bool isMostlyUnresponsive() const noexcept
    {
        return unresponsive.size() * 2 > endpoints;
    }
};

} // namespace sycamoretray
