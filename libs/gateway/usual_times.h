#pragma once

#include "base/monotonic_time.h"
#include "directory/request_routes.h"

#include <map>
#include <string>

namespace sycamoretray
{

/**
 * Usual time from sending to the answer, for each route.
 *
 * Thread safety: none.
 */
class usual_times
{
public:
    /** Before the first answer, a part of the route's latency target. */
    time_span of(const request_route &route) const;

    void answered(const std::string &route, time_span taken);

private:
    struct average {
        time_span time{};
        int answers = 0;
    };
    std::map<std::string, average> m_times;
};

} // namespace sycamoretray
