#pragma once

#include "base/ids.h"
#include "base/result_code.h"
#include "http_message/http_message.h"

#include <string_view>

namespace sycamoretray
{

/** Returns the value of Sycamoretray-Outcome for @p code: "answered", "not-run" or "unknown". Thread-safe. */
std::string_view outcomeText(result_code code) noexcept;

/**
 * Returns the error response for @p code, with the JSON body described in docs/protocols.md and the fields Sycamoretray-Request-Id
 * (unless @p request is empty) and Sycamoretray-Outcome. Thread-safe.
 *
 * @param detail  replaces the standard message of the code unless empty
 */
http_response errorAnswer(result_code code, const request_id &request, std::string_view detail = {});

} // namespace sycamoretray
