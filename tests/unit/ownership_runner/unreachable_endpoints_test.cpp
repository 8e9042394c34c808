#include "elected_site.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

/** Returns the lowest unused fencing token, which rises with each move of keys. */
std::uint64_t nextToken(const electing_instance &instance)
{
    return instance.feeds.ownership().records().at(service_id("s")).nextToken;
}

} // namespace

// Guards against an assigner that moves the keys of the endpoints that it first fails to reach, before it has found out that it reaches none. The
// keys are unserved for the callers of all instances until the moves are completed.
Test(unreachable_endpoints, assigner_that_loses_its_path_moves_no_keys)
{
    elected_site site({ 1 });
    const electing_instance *assigner = site.runUntilAssigned();
    cr_assert_not_null(assigner);
    const std::uint64_t before = nextToken(*assigner);
    site.setSilent(true);
    // All renewals are due and fail twice within this time.
    site.run(1500ms);
    cr_expect_eq(nextToken(*assigner), before);
    site.setSilent(false);
    site.run(2s);
    cr_expect_eq(nextToken(*assigner), before);
}

// Guards against an assigner that takes lost endpoints for its own lost path, although others answer.
Test(unreachable_endpoints, keys_of_one_lost_endpoint_move)
{
    elected_site site({ 1 });
    const electing_instance *assigner = site.runUntilAssigned();
    cr_assert_not_null(assigner);
    const std::uint64_t before = nextToken(*assigner);
    site.setSilent(true, 3);
    // Renewal, two failed orders, and the plan.
    site.run(700ms + 2 * 250ms + 120ms + 400ms);
    cr_expect(nextToken(*assigner) > before);
}

// Guards against an assigner that waits for ever when half of the endpoints are lost at once.
Test(unreachable_endpoints, keys_of_half_of_the_endpoints_move)
{
    elected_site site({ 1 });
    const electing_instance *assigner = site.runUntilAssigned();
    cr_assert_not_null(assigner);
    const std::uint64_t before = nextToken(*assigner);
    site.setSilent(true, 2);
    // As above, and an answer of another endpoint, which are renewed every 0.7 s.
    site.run(700ms + 2 * 250ms + 120ms + 400ms + 700ms);
    cr_expect(nextToken(*assigner) > before);
}

// Guards against keys that stay with lost endpoints, because no other endpoint has keys and answers orders.
Test(unreachable_endpoints, keys_of_all_owners_move_to_endpoints_without_keys)
{
    elected_site site({ 1 });
    const electing_instance *assigner = site.runUntilAssigned();
    cr_assert_not_null(assigner);
    site.addSlowEndpoints(4);
    site.run(500ms);
    const std::uint64_t before = nextToken(*assigner);
    site.setSilent(true, 0, 4);
    // As above, and a question to another endpoint.
    site.run(700ms + 2 * 250ms + 120ms + 400ms + 250ms);
    cr_expect(nextToken(*assigner) > before);
    const auto &assignments = assigner->feeds.ownership().records().at(service_id("s")).assignments;
    cr_expect(std::any_of(assignments.begin(), assignments.end(), [](const key_assignment &each) {
        return each.owner.endpoint.value() >= "e4";
    }));
}
