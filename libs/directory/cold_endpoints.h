#pragma once

#include "directory/endpoint_directory.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace sycamoretray
{

/** An endpoint became cold or warm. */
struct cold_endpoint_change {
    endpoint_id endpoint;
    /** Time for which the endpoint is cold from now on; zero if it became warm. */
    time_span remaining{};
};

/**
 * Tells which endpoints of the directory became cold or warm.
 *
 * Thread safety: none.
 */
class cold_endpoints
{
public:
    /** Returns the changes since the last call. An endpoint that is not listed any more is neither cold nor warm. Call it several times a second. */
    std::vector<cold_endpoint_change> update(const std::map<endpoint_id, listed_endpoint> &endpoints, monotonic_time now);

    /** Number of endpoints that were cold at the last update(). */
    std::size_t count() const noexcept;

private:
    std::set<endpoint_id> m_cold;
};

} // namespace sycamoretray
