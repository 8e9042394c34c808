#include "key_ownership/assigner_candidacy.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

constexpr monotonic_time start{ 100s };
constexpr assigner_status assignedRelay{ true, false, true, 9 };
constexpr assigner_status unassignedRelay{ false, false, true, 9 };
constexpr assigner_status assigned{ true, false, false, 9 };
constexpr assigner_status unassigned{ false, false, false, 9 };

/** Asks @p candidate every 40 ms until @p end, and returns how often its decision changed. */
int ask(assigner_candidacy &candidate, const assigner_status &status, monotonic_time &now, monotonic_time end)
{
    int changes = 0;
    std::optional<bool> last;
    for (; now < end; now += 40ms) {
        const bool participates = candidate.participates(status, now);
        changes += last && *last != participates ? 1 : 0;
        last = participates;
    }
    return changes;
}

} // namespace

Test(assigner_candidacy, relays_take_part_and_others_do_not)
{
    assigner_candidacy candidate(instance_id("i"), true);
    cr_expect(candidate.participates(assignedRelay, start));
    cr_expect(candidate.participates(unassignedRelay, start));
    cr_expect_not(candidate.participates(assigned, start + 10s));
}

// Guards against an assigner that reaches no endpoints.
Test(assigner_candidacy, isolated_instance_does_not_take_part)
{
    assigner_candidacy candidate(instance_id("i"), true);
    candidate.setIsolated(true, start);
    monotonic_time now = start;
    cr_expect_eq(ask(candidate, unassignedRelay, now, start + 10s), 0);
    cr_expect_not(candidate.participates(unassignedRelay, now));
    cr_expect_not(candidate.participates(unassigned, now));
}

// Guards against keys that stay unassigned after all instances were isolated.
Test(assigner_candidacy, relay_takes_part_at_once_if_nobody_assigns)
{
    assigner_candidacy candidate(instance_id("i"), true);
    candidate.setIsolated(true, start);
    candidate.setIsolated(false, start + 5s);
    cr_expect(candidate.participates(unassignedRelay, start + 5s));
    cr_expect(candidate.participates(assignedRelay, start + 5100ms), "it remains when it is the assigner");
}

// Guards against an instance that changes the group each time its path is interrupted.
Test(assigner_candidacy, unstable_path_does_not_change_the_group)
{
    assigner_candidacy candidate(instance_id("i"), true);
    monotonic_time now = start;
    candidate.setIsolated(true, now);
    for (int i = 0; i < 20; ++i) {
        ask(candidate, assignedRelay, now, now + 300ms);
        candidate.setIsolated(false, now);
        ask(candidate, assignedRelay, now, now + 1s);
        cr_expect_not(candidate.participates(assignedRelay, now));
        candidate.setIsolated(true, now);
    }
    candidate.setIsolated(false, now);
    ask(candidate, assignedRelay, now, now + 2100ms);
    cr_expect(candidate.participates(assignedRelay, now));
}

// Guards against keys that nobody assigns because all relays are isolated.
Test(assigner_candidacy, other_instances_stand_in_if_no_relay_takes_over)
{
    assigner_candidacy candidate(instance_id("i"), true);
    monotonic_time now = start;
    // Relays that are not isolated join every 0.33 s, and others may read with a delay of 0.4 s.
    ask(candidate, unassigned, now, start + 400ms);
    cr_expect_not(candidate.participates(unassigned, now));
    ask(candidate, unassigned, now, start + 800ms);
    cr_expect(candidate.participates(unassigned, now));
    cr_expect(candidate.participates({ true, true, false, 9 }, now + 60s), "the assigner remains");
    cr_expect(candidate.participates(assigned, now + 61s));
    cr_expect_not(candidate.participates(assigned, now + 67s));
}

// Guards against hundreds of instances that join at once: the store chooses the assigner anew with each.
Test(assigner_candidacy, few_of_many_instances_stand_in_before_one_of_them_assigns)
{
    std::vector<assigner_candidacy> candidates;
    for (int i = 0; i < 200; ++i) {
        candidates.emplace_back(instance_id("front-" + std::to_string(i)), true);
    }
    const auto count = [&](time_span passed) {
        std::size_t result = 0;
        for (assigner_candidacy &each : candidates) {
            each.participates({ false, false, false, 200 }, start);
            result += each.participates({ false, false, false, 200 }, start + passed) ? 1 : 0;
        }
        return result;
    };
    // A claim and its first record take some 0.1 s after the first join.
    const std::size_t early = count(700ms);
    cr_expect(early >= 1 && early <= 20, "%zu joined", early);
    cr_expect_eq(count(6500ms), 200U);
}

// Guards against hundreds of instances that join at once when all of them were isolated: nobody assigned meanwhile.
Test(assigner_candidacy, few_of_many_instances_stand_in_after_an_isolation_of_all)
{
    constexpr assigner_status status{ false, false, false, 200 };
    const monotonic_time reachable = start + 10s;
    std::size_t atOnce = 0;
    std::size_t early = 0;
    std::size_t late = 0;
    for (int i = 0; i < 200; ++i) {
        assigner_candidacy candidate(instance_id("front-" + std::to_string(i)), true);
        monotonic_time now = start;
        candidate.setIsolated(true, now);
        ask(candidate, status, now, reachable);
        candidate.setIsolated(false, reachable);
        atOnce += candidate.participates(status, reachable) ? 1 : 0;
        early += candidate.participates(status, reachable + 700ms) ? 1 : 0;
        late += candidate.participates(status, reachable + 6500ms) ? 1 : 0;
    }
    cr_expect_eq(atOnce, 0U, "%zu joined", atOnce);
    // A claim and its first record take some 0.1 s after the first join.
    cr_expect(early >= 1 && early <= 20, "%zu joined", early);
    cr_expect_eq(late, 200U);
}

// Guards against an assigner on a small instance while larger ones can take the role.
Test(assigner_candidacy, small_instances_stand_in_last)
{
    assigner_candidacy large(instance_id("i"), true);
    assigner_candidacy small(instance_id("i"), false);
    monotonic_time now = start;
    ask(large, unassigned, now, start + 800ms);
    cr_expect(large.participates(unassigned, now));
    now = start;
    ask(small, unassigned, now, start + 800ms);
    cr_expect_not(small.participates(unassigned, now));
    ask(small, unassigned, now, start + 1300ms);
    cr_expect(small.participates(unassigned, now));
}
