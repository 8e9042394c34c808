#pragma once

#include <string>
#include <string_view>

namespace sycamoretray::standins
{

/**
 * Returns the body of the stand-in server's answer to a request: a function of the request only, which the load tool
 * computes as well to detect an answer that is truncated, altered or meant for another request. Sizes vary from about
 * 100 bytes to 64 KB; three of four answers are under 1 KB.
 */
std::string answerContent(std::string_view requestId, std::string_view key, std::string_view target, std::string_view requestBody);

} // namespace sycamoretray::standins
