#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace sycamoretray::standins
{

/** Returns a UUID version 7: @p createdMs is the time since the Unix epoch in milliseconds, the rest is random. */
std::string newRequestIdentifier(std::int64_t createdMs, std::mt19937_64 &random);

} // namespace sycamoretray::standins
