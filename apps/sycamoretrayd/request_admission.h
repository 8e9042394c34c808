#pragma once

#include "base/result_code.h"
#include "dispatch/server_dispatcher.h"
#include "http_message/http_message.h"
#include "routing/routing_table.h"

#include <string>

namespace sycamoretray
{

/** Result of checking a caller's request before it is routed. */
struct admission_result {
    result_code code = result_code::ok;
    service_id service;
    bool dividedByKey = true;
    /** Id and slot are set if code is ok; dispatch id and payload fingerprint are complete. */
    dispatch_request request;
};

/**
 * Checks a caller's request and prepares it for a home.
 *
 * Paths are compared after percent decoding. Paths that servers could interpret in different ways are refused, such as those
 * with empty or dot segments, encoded slashes or control characters. Otherwise a non-idempotent request could bypass its rule.
 *
 * @param generatedId  id of the request if the caller supplied none; a UUID version 7
 *
 * Thread-safe. The request is moved into the payload if code is ok; result.request.requestId is always set.
 */
admission_result admitRequest(http_request request, const routing_table &table, const request_id &generatedId, monotonic_time now, wall_time wallNow);

/** Decodes the path of @p target, without the query. Returns false if it is malformed or ambiguous. Thread-safe. */
bool decodePath(std::string_view target, std::string &path);

} // namespace sycamoretray
