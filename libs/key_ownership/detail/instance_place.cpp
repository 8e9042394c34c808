#include "key_ownership/detail/instance_place.h"

#include <xxhash.h>

namespace sycamoretray::detail
{

double placeOf(const instance_id &instance)
{
    const std::string &name = instance.value();
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(XXH64(name.data(), name.size(), 1) % steps) / static_cast<double>(steps);
}

} // namespace sycamoretray::detail
