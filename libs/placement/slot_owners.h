#pragma once

#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace sycamoretray
{

/** Index of a server in the list passed to a placement function. */
using server_index = std::uint16_t;
inline constexpr server_index noServer = 0xffff;

/** Owner of each slot. */
using slot_owners = std::vector<server_index>;

struct placement_server {
    server_id id;
    /** True if the server may receive and keep slots. */
    bool eligible = true;
};

using placement_servers = std::vector<placement_server>;

} // namespace sycamoretray
