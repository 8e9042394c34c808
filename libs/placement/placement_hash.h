#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace sycamoretray::detail
{

/** Returns the hash of a name and a number, which is the same on every instance. */
inline std::uint64_t placementHash(const std::string &name, std::uint64_t number)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), number);
}

} // namespace sycamoretray::detail
