#pragma once

#include <cstddef>
#include <cstdint>

namespace sycamoretray::capacity
{

/** Cost of control for one instance in steady state, without HTTP headers and TCP. */
struct control_cost {
    std::size_t instances = 0;
    std::size_t servers = 0;
    /** Encoded bodies of messages to other instances, sent. */
    double peerBytesPerSecond = 0;
    /** Encoded bodies of lease requests, sent. */
    double leaseBytesPerSecond = 0;
    double logReadsPerSecond = 0;
    /** Records appended by all instances together. */
    double appendsPerSecond = 0;
    /** Share of a core, including the fakes that answer. */
    double processorShare = 0;
    /** Heap in bytes, including the fakes. */
    double heapBytes = 0;
};

/**
 * Runs real controllers over fakes until every key is served, and then for some virtual seconds without change.
 *
 * @throws std::runtime_error if the cluster does not start
 */
control_cost measureControl(std::size_t instances, std::size_t servers, std::uint64_t seed);

} // namespace sycamoretray::capacity
