#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <cstdint>

namespace sycamoretray
{

/** One run of an endpoint's process. A restarted endpoint is another life, which holds no keys. */
struct endpoint_life {
    endpoint_id endpoint;
    /** Start of the process in milliseconds since the Unix epoch, as the endpoint reports it. */
    std::uint64_t startedAtMs = 0;
    network_address address;

    /** Compares the life only: the address follows from it. */
    friend bool operator==(const endpoint_life &left, const endpoint_life &right) noexcept
    {
        return left.endpoint == right.endpoint && left.startedAtMs == right.startedAtMs;
    }
    friend bool operator<(const endpoint_life &left, const endpoint_life &right) noexcept
    {
        return left.endpoint != right.endpoint ? left.endpoint < right.endpoint : left.startedAtMs < right.startedAtMs;
    }
};

/** What an endpoint registers of itself. */
struct endpoint_entry {
    endpoint_life life;
    service_id service;
    availability_zone zone;
    std::uint32_t workerSlots = 1;
    bool draining = false;
    /** How much longer the endpoint stays slow after its start, when it wrote the entry. */
    time_span coldFor{};
};

} // namespace sycamoretray
