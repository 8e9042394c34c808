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
    /** From the end of all faults until every key is served, in virtual time. */
    time_span recovery{};
};

/**
 * Runs one random sequence of faults against a cluster of controllers. The same seed gives the same run.
 *
 * @param faults  defects that are switched on in every controller
 * @param trace   called with each line of the trace; may be empty
 */
seed_result exploreSeed(std::uint64_t seed, const controller_test_faults &faults, const std::function<void(const std::string &line)> &trace);

/** Returns the faults with only the one called @p name on; throws std::invalid_argument for an unknown name. */
controller_test_faults faultNamed(const std::string &name);

/** Names that faultNamed() knows. */
std::vector<std::string> faultNames();

} // namespace sycamoretray::harness
