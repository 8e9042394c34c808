#include "metadata_store/relay_standby.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr monotonic_time start{ 100s };
constexpr double smallProcessorShare = 0.1;

std::vector<relay_standby> smallInstances(std::size_t count)
{
    std::vector<relay_standby> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.emplace_back(instance_id("front-z-" + std::to_string(i)), smallProcessorShare, start);
    }
    return result;
}

std::size_t countParticipants(std::vector<relay_standby> &instances, const relay_status &relay, monotonic_time now)
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

// Guards against all instances joining at once: the relay of a zone of 40 instances is lost, and all notice it at the same time. They join
// one after another, so that few have joined by the time one of them has become the relay.
Test(relay_standby, few_small_instances_join_at_once_for_a_lost_relay)
{
    std::vector<relay_standby> instances = smallInstances(40);
    cr_expect_eq(countParticipants(instances, { true, 2s }, start + 20s), 0U);
    // It takes half a second until one of them is the relay and the others know it.
    const std::size_t joined = countParticipants(instances, { true, 3s }, start + 21s);
    cr_expect(joined >= 1 && joined <= 12, "%zu joined", joined);
    cr_expect_eq(countParticipants(instances, { true, 8s }, start + 26s), 40U);
}

// Guards against instances that leave as soon as the relay works again: each one that leaves makes the store reassign the relay.
Test(relay_standby, standbys_leave_with_a_delay)
{
    std::vector<relay_standby> instances = smallInstances(40);
    const std::size_t joined = countParticipants(instances, { true, 4s }, start + 20s);
    cr_assert(joined > 0);
    cr_expect_eq(countParticipants(instances, { true, 0s }, start + 24s), joined);
    cr_expect_eq(countParticipants(instances, { true, 0s }, start + 27s), 0U);
}

// Guards against a zone without relay candidates that gets no relay.
Test(relay_standby, small_instances_join_in_a_zone_without_candidates)
{
    std::vector<relay_standby> instances = smallInstances(10);
    cr_expect_eq(countParticipants(instances, { false, 0s }, start + 1s), 0U);
    cr_expect_eq(countParticipants(instances, { false, 0s }, start + 8s), 10U);
}
