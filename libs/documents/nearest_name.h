#pragma once

#include <string>
#include <vector>

namespace sycamoretray
{

/** Returns the candidate with the smallest edit distance to @p name, or "" if no candidate is similar. Thread-safe. */
std::string nearestName(const std::string &name, const std::vector<std::string> &candidates);

} // namespace sycamoretray
