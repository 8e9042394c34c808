#include "ownership_model.h"
#include "ownership_scenarios.h"

#include <iostream>

using namespace sycamoretray::model;

namespace
{

void print(const std::string &scenario, const std::string &rules, const exploration_result &result)
{
    std::cout << "scenario=\"" << scenario << "\" rules=\"" << rules << "\" states=" << result.states << " violation=" << (result.violation ? "yes" : "no")
              << "\n";
    for (const std::string &step : result.steps) {
        std::cout << "  " << step << "\n";
    }
}

} // namespace

/** Explores every scenario with all rules, then with one rule left out. Exits with 1 if a result differs from the expected one. */
int main()
{
    bool asExpected = true;
    for (const named_scenario &scenario : ownershipScenarios()) {
        const exploration_result result = exploreOwnership(scenario.scenario, {});
        print(scenario.name, "all", result);
        asExpected = asExpected && !result.violation;
    }
    for (const weakened_rules &weakened : weakenedRules()) {
        const exploration_result result = exploreOwnership(weakened.scenario, weakened.rules);
        print("for the rule", weakened.name, result);
        asExpected = asExpected && result.violation == weakened.violationExpected;
    }
    return asExpected ? 0 : 1;
}
