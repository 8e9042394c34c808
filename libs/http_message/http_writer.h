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

/** Like appendRequest(), without the body. */
void appendRequestHead(std::string &out,
                       std::string_view method,
                       std::string_view target,
                       const http_fields &fields,
                       std::span<const http_field> extraFields,
                       std::size_t bodyBytes);

/**
 * Appends the head of a response to @p out in wire format, with Content-Length if the body follows. Returns whether it does.
 * Preconditions as for appendRequest(). Thread-safe.
 */
bool appendResponseHead(std::string &out, const http_response &response, std::span<const http_field> extraFields, bool headRequest, bool keepAlive);

} // namespace sycamoretray
