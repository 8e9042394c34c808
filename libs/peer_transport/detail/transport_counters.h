#pragma once

#include <atomic>
#include <cstdint>

namespace sycamoretray::detail
{

struct transport_counters {
    /** Sequence number of batches, common to all receivers, so that it keeps increasing when a connection is reopened. */
    std::atomic<std::uint64_t> sequence{ 0 };
    std::atomic<std::uint64_t> batchesSent{ 0 };
    std::atomic<std::uint64_t> batchesReceived{ 0 };
    std::atomic<std::uint64_t> batchesRefused{ 0 };
    std::atomic<std::uint64_t> messagesSent{ 0 };
    std::atomic<std::uint64_t> messagesDropped{ 0 };
};

} // namespace sycamoretray::detail
