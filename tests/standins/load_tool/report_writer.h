#pragma once

#include "standins/load_tool/arrival_script.h"
#include "standins/load_tool/journal_reader.h"
#include "standins/load_tool/request_fate.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace sycamoretray::standins
{

/** Counts, latencies by class, time line of unserved requests and violations, as one JSON object. */
nlohmann::json summarize(const std::vector<planned_request> &script,
                         const std::vector<request_fate> &fates,
                         const journal_content &journals,
                         const std::vector<std::string> &violations);

/** Renders the object of summarize() as one HTML page with SVG charts that needs no other file. */
std::string renderReport(const nlohmann::json &summary);

} // namespace sycamoretray::standins
