#pragma once

#include <atomic>
#include <cstdint>

namespace sycamoretray::detail
{

struct transport_counters {
    /** One sequence for all receivers, so that it also grows for a receiver whose connection was closed and opened again. */
    std::atomic<std::uint64_t> sequence{ 0 };
    std::atomic<std::uint64_t> batchesSent{ 0 };
    std::atomic<std::uint64_t> batchesReceived{ 0 };
    std::atomic<std::uint64_t> batchesRefused{ 0 };
    std::atomic<std::uint64_t> messagesSent{ 0 };
    std::atomic<std::uint64_t> messagesDropped{ 0 };
};

} // namespace sycamoretray::detail
