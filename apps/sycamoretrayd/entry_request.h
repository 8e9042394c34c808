#pragma once

#include "dispatch/server_dispatcher.h"
#include "http_entry/http_server.h"

#include <atomic>
#include <memory>

namespace sycamoretray
{

/**
 * A caller's request at its entry instance, which is the instance that received it. At any time it is owned by exactly one
 * of these: the thread that routes it, the forward table, or the list of deferred requests.
 */
struct entry_request {
    dispatch_request request;
    service_id service;
    bool dividedByKey = true;
    std::shared_ptr<answer_handle> handle;
    monotonic_time arrived;
    /** Time of the first failed attempt that could be retried; max() if there was none. */
    monotonic_time firstFailedAt = monotonic_time::max();
    /** Number of such attempts; determines the retry delay. */
    std::uint32_t failedAttempts = 0;
    /** The outcome of an earlier attempt is unknown, so the request must not be reported as not run. */
    bool mayHaveRun = false;
    /** Id of the latest entry in the forward table; 0 if there was none yet. */
    std::atomic<std::uint64_t> forwardId{ 0 };
    std::atomic<bool> callerDisconnected{ false };
};

} // namespace sycamoretray
