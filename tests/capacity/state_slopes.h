#pragma once

#include <cstddef>

namespace sycamoretray::capacity
{

/** Size of the replayed state with one service divided by key, and the time for its basic operations. */
struct state_cost {
    std::size_t instances = 0;
    std::size_t servers = 0;
    double encodedBytes = 0;
    double heapBytes = 0;
    double applyMicroseconds = 0;
    double digestMicroseconds = 0;
    double routingTableMicroseconds = 0;
};

/** Builds a state by replaying records. Precondition: both counts are positive. */
state_cost measureState(std::size_t instances, std::size_t servers);

} // namespace sycamoretray::capacity
