#pragma once

#include <cstddef>
#include <cstdint>

namespace sycamoretray::capacity
{

/** Cost of the control protocol for one instance in steady state, without HTTP headers and TCP. */
struct control_cost {
    std::size_t instances = 0;
    std::size_t servers = 0;
    /** Encoded bodies of the messages sent to other instances. */
    double peerBytesPerSecond = 0;
    /** Encoded bodies of the lease requests sent. */
    double leaseBytesPerSecond = 0;
    double logReadsPerSecond = 0;
    /** Records appended by all instances together. */
    double appendsPerSecond = 0;
    /** Share of a processor core, including the fake log, network and servers. */
    double processorShare = 0;
    /** Heap, including the fakes. */
    double heapBytes = 0;
};

/**
 * Runs real controllers over fakes until every key is served and slots are rebalanced, then measures some virtual seconds without
 * changes.
 *
 * @throws std::runtime_error if the cluster does not start
 */
control_cost measureControl(std::size_t instances, std::size_t servers, std::uint64_t seed);

} // namespace sycamoretray::capacity
