#pragma once

#include "controller/controller.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sycamoretray::harness
{

struct seed_result {
    std::vector<std::string> violations;
    /** Virtual time from the end of all faults until every key is served and all instances agree. */
    time_span recovery{};
};

/**
 * Runs one random sequence of faults against a cluster of controllers. The same seed gives the same run.
 *
 * @param faults  deliberate defects that are enabled in every controller
 * @param trace   called with each line of the trace; may be empty
 */
seed_result exploreSeed(std::uint64_t seed, const controller_test_faults &faults, const std::function<void(const std::string &line)> &trace);

/** Returns faults of which only the one called @p name is enabled; throws std::invalid_argument for an unknown name. */
controller_test_faults faultNamed(const std::string &name);

/** Names that faultNamed() accepts. */
std::vector<std::string> faultNames();

} // namespace sycamoretray::harness
