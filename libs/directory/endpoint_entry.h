#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <cstdint>

namespace sycamoretray
{

/** One incarnation of an endpoint's process, from start to exit. After a restart, the new incarnation holds no keys. */
struct endpoint_incarnation {
    endpoint_id endpoint;
    /** Start of the process in milliseconds since the Unix epoch, as the endpoint reports it. */
    std::uint64_t startedAtMs = 0;
    network_address address;

    /** Ignores the address, which is determined by the other members. */
    friend bool operator==(const endpoint_incarnation &left, const endpoint_incarnation &right) noexcept
    {
        return left.endpoint == right.endpoint && left.startedAtMs == right.startedAtMs;
    }
    friend bool operator<(const endpoint_incarnation &left, const endpoint_incarnation &right) noexcept
    {
        return left.endpoint != right.endpoint ? left.endpoint < right.endpoint : left.startedAtMs < right.startedAtMs;
    }
};

/** Entry under which an endpoint registers itself. */
struct endpoint_entry {
    endpoint_incarnation incarnation;
    service_id service;
    availability_zone zone;
    std::uint32_t workerSlots = 1;
    bool draining = false;
    /** Remaining warm-up time, in which the endpoint is slow, as of the time when it wrote the entry. */
    time_span warmupRemaining{};
};

} // namespace sycamoretray
