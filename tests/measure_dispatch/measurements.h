#pragma once

#include "measurement_row.h"

#include <functional>
#include <map>

namespace sycamoretray
{

using measurement = std::function<std::vector<measurement_row>(std::uint64_t seeds)>;

/** Measurements of load: short requests with long ones, overload, retries, one customer that sends too much. */
std::map<std::string, measurement> loadMeasurements();

/** Measurements of several servers: load balance without keys, crashes caused by one request. */
std::map<std::string, measurement> placementMeasurements();

/** CPU cost of the decision logic per request, measured in real time. The number of seeds is the number of repetitions. */
std::map<std::string, measurement> costMeasurements();

} // namespace sycamoretray
