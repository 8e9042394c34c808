#include "executor/steady_time.h"

#include <ctime>

namespace sycamoretray
{

monotonic_time steadyNow() noexcept
{
    // CLOCK_MONOTONIC does not advance while the machine is suspended, so leases would appear to expire later than they do.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return monotonic_time(std::chrono::duration_cast<time_span>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

wall_time wallNow() noexcept
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace sycamoretray
