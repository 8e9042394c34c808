#pragma once

#include "standins/load_tool/arrival_schedule.h"
#include "standins/load_tool/journal_reader.h"
#include "standins/load_tool/request_history.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace sycamoretray::standins
{

/** Returns counts, latencies by request class, a time line of unserved requests, and violations as a JSON object. */
nlohmann::json summarize(const std::vector<planned_request> &schedule,
                         const std::vector<request_history> &histories,
                         const journal_content &journals,
                         const std::vector<std::string> &violations);

/** Renders the result of summarize() as a self-contained HTML page with SVG charts. */
std::string renderReport(const nlohmann::json &summary);

} // namespace sycamoretray::standins
