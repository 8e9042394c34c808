#pragma once

#include "dispatch/server_dispatcher.h"
#include "http_entry/http_server.h"

#include <atomic>
#include <memory>

namespace sycamoretray
{

/**
 * A caller's request while its entry instance works on it. It is in one place at a time: with one thread that routes it, in
 * the forward table, or in the list of parked requests.
 */
struct entry_request {
    dispatch_request request;
    service_id service;
    bool dividedByKey = true;
    std::shared_ptr<answer_slot> slot;
    monotonic_time arrived;
    /** Time of the first refusal that a routing change can cure. */
    monotonic_time refusedSince = monotonic_time::max();
    std::uint32_t refusals = 0;
    /** An earlier attempt was lost, so "not run" can no longer be said. */
    bool mayHaveRun = false;
    /** Id in the forward table while it is there; 0 before. */
    std::atomic<std::uint64_t> forwardId{ 0 };
    std::atomic<bool> callerGone{ false };
};

} // namespace sycamoretray
