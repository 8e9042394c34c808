#include "metadata_store/relay_standby.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr monotonic_time start{ 100s };
constexpr double smallShare = 0.1;

std::vector<relay_standby> smallInstances(std::size_t count)
{
    std::vector<relay_standby> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.emplace_back(instance_id("front-z-" + std::to_string(i)), smallShare, start);
    }
    return result;
}

std::size_t taking(std::vector<relay_standby> &instances, const relay_status &relay, monotonic_time now)
{
    std::size_t count = 0;
    for (relay_standby &each : instances) {
        count += each.participates(relay, now) ? 1 : 0;
    }
    return count;
}

} // namespace

Test(relay_standby, candidates_always_take_part)
{
    relay_standby candidate(instance_id("c"), 0.5, start);
    cr_expect(candidate.participates({ true, 0s }, start));
}

// Load pattern: the relay of a zone of 40 instances is lost, and all of them notice it at once. They step in one after another, so that
// few have joined when one of them has become the relay.
Test(relay_standby, few_small_instances_step_in_for_a_lost_relay)
{
    std::vector<relay_standby> instances = smallInstances(40);
    cr_expect_eq(taking(instances, { true, 2s }, start + 20s), 0U);
    // Becoming the relay, and telling the others, takes half a second.
    const std::size_t joined = taking(instances, { true, 3s }, start + 21s);
    cr_expect(joined >= 1 && joined <= 12, "%zu joined", joined);
    cr_expect_eq(taking(instances, { true, 8s }, start + 26s), 40U);
}

// Guards against leaving as soon as the relay answers again: each that leaves makes the store deal the relay anew.
Test(relay_standby, reserves_stay_for_a_while)
{
    std::vector<relay_standby> instances = smallInstances(40);
    const std::size_t joined = taking(instances, { true, 4s }, start + 20s);
    cr_assert(joined > 0);
    cr_expect_eq(taking(instances, { true, 0s }, start + 24s), joined);
    cr_expect_eq(taking(instances, { true, 0s }, start + 27s), 0U);
}

// A zone without candidates gets a relay all the same.
Test(relay_standby, small_instances_step_in_where_nobody_else_is)
{
    std::vector<relay_standby> instances = smallInstances(10);
    cr_expect_eq(taking(instances, { false, 0s }, start + 1s), 0U);
    cr_expect_eq(taking(instances, { false, 0s }, start + 8s), 10U);
}
