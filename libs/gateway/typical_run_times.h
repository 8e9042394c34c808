#pragma once

#include "base/monotonic_time.h"
#include "directory/request_routes.h"

#include <map>
#include <string>

namespace sycamoretray
{

/**
 * Average time from sending to the answer for each route, over the latest answers.
 *
 * Thread safety: none.
 */
class typical_run_times
{
public:
    /** Returns the typical run time; before the first answer, a fixed share of the route's latency target. */
    time_span of(const request_route &route) const;

    void record(const std::string &route, time_span taken);

private:
    struct average {
        time_span time{};
        int answers = 0;
    };
    std::map<std::string, average> m_times;
};

} // namespace sycamoretray
