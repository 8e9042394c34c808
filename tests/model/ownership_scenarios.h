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

/** Rules of which one is omitted or weakened, and a scenario that shows the effect. */
struct weakened_rules {
    std::string name;
    ownership_scenario scenario;
    ownership_rules rules;
    bool violationExpected = true;
};

/** Scenarios without a violation under the full rules. */
std::vector<named_scenario> ownershipScenarios();

std::vector<weakened_rules> weakenedRules();

} // namespace sycamoretray::model
