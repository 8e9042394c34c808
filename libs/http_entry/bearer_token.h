#pragma once

#include "http_message/http_message.h"

#include <string>

namespace sycamoretray
{

/**
 * Returns whether the request has exactly one field "Authorization: Bearer <token>". The comparison takes constant time for tokens
 * of the right length. An empty @p token accepts every request. Thread-safe.
 */
bool hasValidBearerToken(const http_request &request, const std::string &token);

} // namespace sycamoretray
