#pragma once

#include "measurement_row.h"

#include <functional>
#include <map>

namespace sycamoretray
{

using measurement = std::function<std::vector<measurement_row>(std::uint64_t seeds)>;

/** Measurements of one server under load: short beside long, overload, retries, a flooding customer. */
std::map<std::string, measurement> loadMeasurements();

/** Measurements of several servers: evenness without keys, crashes by one request. */
std::map<std::string, measurement> placementMeasurements();

/** Cost of the decision logic per request, by the steady clock. The number of seeds is that of repetitions. */
std::map<std::string, measurement> costMeasurements();

} // namespace sycamoretray
