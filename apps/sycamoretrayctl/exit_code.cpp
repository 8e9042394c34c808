#include "exit_code.h"

namespace sycamoretray
{

exit_code exitCodeOf(const std::error_code &error) noexcept
{
    if (!error) {
        return exit_code::success;
    }
    if (error.category() != resultCategory()) {
        return exit_code::unavailable;
    }
    switch (static_cast<result_code>(error.value())) {
    case result_code::version_conflict:
        return exit_code::version_conflict;
    case result_code::log_unavailable:
    case result_code::peer_unreachable:
    case result_code::instance_stopping:
        return exit_code::unavailable;
    case result_code::publish_unsettled:
        return exit_code::unsettled;
    case result_code::unauthorized:
        return exit_code::unauthorized;
    case result_code::unknown_name:
        return exit_code::not_found;
    case result_code::unknown_option:
        return exit_code::usage;
    default:
        return exit_code::refused;
    }
}

} // namespace sycamoretray
