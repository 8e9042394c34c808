#include "ownership_model.h"
#include "ownership_scenarios.h"

#include <criterion/criterion.h>

using namespace sycamoretray::model;

// Guards against takeover rules under which two servers can hold a lease for the same slot at the same time.
Test(ownership_model, full_rules_hold_in_every_interleaving)
{
    for (const named_scenario &scenario : ownershipScenarios()) {
        const exploration_result result = exploreOwnership(scenario.scenario, {});
        cr_expect_not(result.violation, "%s", scenario.name.c_str());
        cr_expect_gt(result.states, 1000, "%s: the exploration ended early", scenario.name.c_str());
    }
}

// Guards against an exploration that never finds a violation: for each required rule, a sequence of steps violates the invariant
// without it.
Test(ownership_model, omitting_a_required_rule_is_detected)
{
    for (const weakened_rules &weakened : weakenedRules()) {
        const exploration_result result = exploreOwnership(weakened.scenario, weakened.rules);
        cr_expect_eq(result.violation, weakened.violationExpected, "%s", weakened.name.c_str());
    }
}
