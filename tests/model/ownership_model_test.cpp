#include "ownership_model.h"
#include "ownership_scenarios.h"

#include <criterion/criterion.h>

using namespace sycamoretray::model;

// Guards against rules of takeover under which two servers hold a lease for one slot at one moment.
Test(ownership_model, full_rules_hold_in_every_interleaving)
{
    for (const named_scenario &scenario : ownershipScenarios()) {
        const exploration_result result = exploreOwnership(scenario.scenario, {});
        cr_expect_not(result.violation, "%s", scenario.name.c_str());
        cr_expect_gt(result.states, 1000, "%s: the exploration ended early", scenario.name.c_str());
    }
}

// Guards against an exploration that cannot fail: each rule that matters has a sequence of steps that needs it.
Test(ownership_model, each_rule_left_out_is_noticed)
{
    for (const weakened_rules &weakened : weakenedRules()) {
        const exploration_result result = exploreOwnership(weakened.scenario, weakened.rules);
        cr_expect_eq(result.violation, weakened.violationExpected, "%s", weakened.name.c_str());
    }
}
