#pragma once

#include <cstddef>

namespace sycamoretray::capacity
{

/** Size of a replayed state that has one service divided by key, and the duration of its basic operations. */
struct state_cost {
    std::size_t instances = 0;
    std::size_t servers = 0;
    double encodedBytes = 0;
    double heapBytes = 0;
    /** Time to apply one server_up record. */
    double applyMicroseconds = 0;
    /** Time to compute the digest after a record. */
    double digestMicroseconds = 0;
    /** Time to build the routing table. */
    double routingTableMicroseconds = 0;
};

/** Builds a state by replaying records. Precondition: both counts are positive. */
state_cost measureState(std::size_t instances, std::size_t servers);

} // namespace sycamoretray::capacity
