#pragma once

#include "gateway/forwarding_port.h"
#include "gateway/gateway_request.h"
#include "gateway/peer_chooser.h"
#include "http_client/http_connection_pool.h"

#include <string>
#include <variant>

namespace sycamoretray
{

/** What the exchange with another instance means for the request and for the instance. */
struct decoded_forward_reply {
    forward_reply reply;
    peer_outcome peer = peer_outcome::unknown;
};

/** Encodes @p request for another instance: the caller's request and the fields of the mark. Thread-safe. */
http_wire encodeForward(const gateway_request &request, const forward_mark &mark, time_span timeLeft);

/** Returns whether another instance forwarded @p request. Thread-safe. */
bool isForward(const http_request &request);

/** Decodes a forwarded request. Returns the reason for the rejection if it is not valid. Thread-safe. */
std::variant<gateway_request, result_code> decodeForward(http_request request);

/** Encodes the response to the instance that forwarded the request @p id. Thread-safe. */
http_response encodeForwardAnswer(gateway_answer answer, const request_id &id);

/** Encodes the response to a request that was not received completely and thus has no id. Thread-safe. */
http_response encodeForwardError(result_code code);

/** Returns whether @p response answers the forwarded request @p id, or is one of encodeForwardError(). Thread-safe. */
bool answersForward(const http_response &response, const request_id &id);

/** Maps the result of an exchange with another instance about the request @p id. Thread-safe. */
decoded_forward_reply decodeForwardAnswer(http_exchange_result result, const request_id &id);

} // namespace sycamoretray
