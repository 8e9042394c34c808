#pragma once

#include "http_message/http_message.h"

#include <span>
#include <string>
#include <string_view>

namespace sycamoretray
{

/**
 * Appends a request to @p out in wire format. Adds Content-Length, except for GET and HEAD without a body. Thread-safe.
 *
 * Preconditions: @p fields contains no framing fields (see removeConnectionFields()); names and values come from a parser or
 * contain no control characters.
 */
void appendRequest(std::string &out,
                   std::string_view method,
                   std::string_view target,
                   const http_fields &fields,
                   std::span<const http_field> extraFields,
                   std::string_view body);

/** Appends a response to @p out in wire format, with Content-Length if it has a body. Preconditions as for appendRequest(). Thread-safe. */
void appendResponse(std::string &out, const http_response &response, std::span<const http_field> extraFields, bool headRequest, bool keepAlive);

} // namespace sycamoretray
