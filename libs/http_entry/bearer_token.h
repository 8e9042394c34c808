#pragma once

#include "http_message/http_message.h"

#include <string>

namespace sycamoretray
{

/**
 * Returns whether the request carries "Authorization: Bearer <token>". The comparison takes the same time for every token of
 * the right length. An empty @p token accepts every request. Thread-safe.
 */
bool bearsToken(const http_request &request, const std::string &token);

} // namespace sycamoretray
