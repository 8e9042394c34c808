#pragma once

#include <string>

namespace sycamoretray
{

/** A record to be written to a keyed topic. */
struct keyed_value {
    std::string key;
    std::string value;
};

} // namespace sycamoretray
