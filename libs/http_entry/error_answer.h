#pragma once

#include "base/ids.h"
#include "base/result_code.h"
#include "http_message/http_message.h"

#include <string_view>

namespace sycamoretray
{

/** Returns "answered", "not-run" or "unknown". Thread-safe. */
std::string_view outcomeText(result_code code) noexcept;

/**
 * Returns the numbered error as JSON, as docs/protocols.md describes it, with Sycamoretray-Request-Id (if there is an id) and
 * Sycamoretray-Outcome. Thread-safe.
 *
 * @param detail  replaces the general message of the code unless it is empty
 */
http_response errorAnswer(result_code code, const request_id &request, std::string_view detail = {});

} // namespace sycamoretray
