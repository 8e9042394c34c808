#pragma once

#include <string>
#include <string_view>

namespace sycamoretray::standins
{

/**
 * The answer of the stand-in server to a request, as a function of what identifies the request. The caller computes it
 * too, and so detects an answer that is truncated, altered or meant for another request. Sizes vary from about 100 bytes
 * to 64 KB: three of four answers are under 1 KB.
 */
std::string answerContent(std::string_view requestId, std::string_view key, std::string_view target, std::string_view requestBody);

} // namespace sycamoretray::standins
