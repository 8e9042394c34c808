#include "executor/steady_time.h"

namespace sycamoretray
{

monotonic_time steadyNow() noexcept
{
    return monotonic_time(std::chrono::duration_cast<time_span>(std::chrono::steady_clock::now().time_since_epoch()));
}

wall_time wallNow() noexcept
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace sycamoretray
