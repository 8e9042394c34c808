#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/result_code.h"
#include "http_message/http_message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sycamoretray
{

/** A caller's request, as far as it matters for routing. */
struct gateway_request {
    /** Identifies this attempt of the caller. */
    request_id id;
    std::string host;
    /** Target without the query. */
    std::string path;
    /** Set if the request names a key. */
    std::optional<key_number> key;
    /** How long the caller waits; nothing if it did not say. */
    std::optional<time_span> timeLeft;
    /** Fields about the connection and those that are set anew for each attempt are removed. */
    http_request message;
};

/** What an endpoint says about its load. */
struct endpoint_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t workerSlots = 0;
};

enum class reply_kind {
    /** The endpoint's own complete answer to this request. */
    answered,
    /** The request certainly did not run. */
    not_run,
    /** No usable answer; the request may have run. */
    failed,
};

/** Outcome of one attempt at an endpoint. */
struct endpoint_reply {
    reply_kind kind = reply_kind::failed;
    /** False if certainly no byte of the request was sent. */
    bool sent = true;
    /** The endpoint is another one than expected, or does not hold the key. */
    bool misdirected = false;
    /** Why the attempt failed. */
    result_code code = result_code::ok;
    std::optional<endpoint_load> load;
    /** Set if answered. */
    http_response response;
};

/** True if the endpoint refused the request although it reports free worker slots. Thread-safe. */
inline bool refusedWithRoom(const endpoint_reply &reply) noexcept
{
    return reply.kind == reply_kind::not_run && reply.sent && !reply.misdirected && reply.load
        && reply.load->running + reply.load->waiting < reply.load->workerSlots;
}

/** What a caller gets: an endpoint's answer, or an answer of our own. */
struct gateway_answer {
    /** Set if an endpoint answered. */
    std::optional<http_response> response;
    /** Otherwise the reason. */
    result_code code = result_code::ok;
    /** When a request that did not run is worth repeating. */
    std::optional<time_span> retryAfter;
};

} // namespace sycamoretray
