#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/request_rate.h"
#include "base/result_code.h"
#include "http_message/http_message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sycamoretray
{

/** What the instance that forwarded a request states about it. */
struct forward_mark {
    /** Number of endpoints that may have run the request before. */
    std::uint32_t attempts = 0;
    /** Version of the configuration by which that instance accepted the request. */
    std::uint64_t configurationVersion = 0;
};

/** A caller's request with the properties that routing uses. */
struct gateway_request {
    /** Id of the request; a caller's own retry has another one. */
    request_id id;
    /** IP address of the caller; empty if another instance forwarded the request. */
    std::string caller;
    std::string host;
    /** Request target without the query. */
    std::string path;
    /** Set if the request names a key. */
    std::optional<key_number> key;
    /** How long the caller waits, if it stated a deadline. */
    std::optional<time_span> timeLeft;
    /** Set if another instance forwarded the request. */
    std::optional<forward_mark> forwarded;
    /** Without header fields of the connection and those that are set for each attempt. */
    http_request message;
};

/** Load that an endpoint reports. */
struct endpoint_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t workerSlots = 0;
    /** How long work takes on the endpoint's machine at this moment, in percent of the usual time; nothing if not reported. */
    std::optional<std::uint32_t> runTimePercent = std::nullopt;
};

enum class reply_kind {
    /** The endpoint answered the request completely. */
    answered,
    /** The request is known not to have run. */
    not_run,
    /** There is no valid answer; the request may have run. */
    failed,
};

/** Outcome of one attempt at an endpoint. */
struct endpoint_reply {
    reply_kind kind = reply_kind::failed;
    /** False if it is known that no byte of the request was sent. */
    bool sent = true;
    /** The attempt reached another endpoint than intended, or the endpoint does not hold the key. */
    bool misdirected = false;
    /** Why the attempt failed. */
    result_code code = result_code::ok;
    std::optional<endpoint_load> load;
    /** Requests a second that the endpoint takes from all instances together, if its response names a limit. */
    std::optional<request_rate> requestLimit;
    /** Time for which the endpoint, which refused the request, wants no other one from this instance. */
    std::optional<time_span> pause;
    /** The response names a pause that cannot be read. */
    bool pauseUnreadable = false;
    /** The endpoint says that it leaves: it exits soon and wants no new requests. */
    bool leaving = false;
    /** Set if answered; otherwise only the status, which is 0 without a valid response. */
    http_response response{ 0, {}, {}, true };
};

/** Returns whether the endpoint sent a valid response, also one that refuses the request. Thread-safe. */
inline bool hasResponse(const endpoint_reply &reply) noexcept
{
    return reply.response.status != 0;
}

/** Returns whether the endpoint refused the request although it reports free worker slots. Thread-safe. */
inline bool refusedDespiteFreeSlots(const endpoint_reply &reply) noexcept
{
    return reply.kind == reply_kind::not_run && reply.sent && !reply.misdirected && reply.load
        && reply.load->running + reply.load->waiting < reply.load->workerSlots;
}

/** Answer to a caller: an endpoint's response, or a result code of the router. */
struct gateway_answer {
    /** Set if an endpoint answered; code is not used then. */
    std::optional<http_response> response;
    /** Why there is no response. */
    result_code code = result_code::ok;
    /** Time after which the caller should retry a request that did not run. */
    std::optional<time_span> retryAfter;
};

} // namespace sycamoretray
