#pragma once

#include "ownership_model.h"

#include <string>
#include <vector>

namespace sycamoretray::model
{

struct named_scenario {
    std::string name;
    ownership_scenario scenario;
};

/** A rule left out, and a scenario in which that matters. */
struct weakened_rules {
    std::string name;
    ownership_scenario scenario;
    ownership_rules rules;
    bool violationExpected = true;
};

/** Scenarios in which the full rules must hold. */
std::vector<named_scenario> ownershipScenarios();

std::vector<weakened_rules> weakenedRules();

} // namespace sycamoretray::model
