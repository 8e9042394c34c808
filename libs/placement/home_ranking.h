#pragma once

#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace sycamoretray
{

/** An instance that may become the home of a server. */
struct ranked_instance {
    incarnation_id incarnation;
    availability_zone zone;
    /** Number of servers of which the instance is the home. */
    std::uint32_t homes = 0;
};

/**
 * Returns the candidates in the order in which they may claim @p server: those that are home of fewer servers first, then those in
 * another zone than @p serverZone, then by rendezvous hash. Thread-safe.
 */
std::vector<ranked_instance> rankHomes(const server_id &server, const availability_zone &serverZone, std::vector<ranked_instance> candidates);

} // namespace sycamoretray
