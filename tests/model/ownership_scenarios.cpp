#include "ownership_scenarios.h"

namespace sycamoretray::model
{

std::vector<named_scenario> ownershipScenarios()
{
    return {
        { "3 confirmers", { .changes = 0 } },
        { "5 confirmers", { .confirmers = 5, .changes = 0 } },
        { "3 confirmers, home and claimant are none", { .home = 4, .claimant = 5, .changes = 0 } },
        { "4 confirmers, one is added", { .confirmers = 4, .changes = 1 } },
        { "3 confirmers, the home is replaced, added first", { .removed = 0 } },
        { "3 confirmers, the home is replaced, removed first", { .removed = 0, .addFirst = false } },
        { "3 confirmers, a third one is replaced, added first", { .removed = 2 } },
        { "3 confirmers, a third one is replaced, removed first", { .removed = 2, .addFirst = false } },
        { "3 confirmers, the home is replaced by the claimant", { .claimant = 3, .removed = 0 } },
    };
}

std::vector<weakened_rules> weakenedRules()
{
    const ownership_scenario plain{ .changes = 0 };
    const ownership_scenario replaced{ .removed = 0 };
    return {
        { "without majority overlap", plain, { .majorityOverlap = false } },
        { "without the wait", plain, { .wait = false } },
        { "wait shorter by d", plain, { .waitShortenedBy = 1 } },
        { "without the settled rule", replaced, { .settledNeedsMajority = false } },
        { "age from the receipt", plain, { .ageFromSend = false } },
        { "replies that are ahead count", plain, { .replyMustNotBeAhead = false } },
        { "lease from the arrival of the grant", plain, { .leaseFromChallenge = false } },
        { "stale log reads", plain, { .readsNotStale = false } },
        // Majorities of sets that differ by one member overlap, so this rule is redundant while a change affects one member only.
        { "only the new majority while a change is pending", replaced, { .bothMajoritiesWhilePending = false }, false },
    };
}

} // namespace sycamoretray::model
