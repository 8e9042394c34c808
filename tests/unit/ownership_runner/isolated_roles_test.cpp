#include "elected_site.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamoretray;
using namespace std::chrono_literals;

// Guards against keys that lapse at all instances, because the assigner keeps its role while it reaches no endpoints.
Test(isolated_roles, isolated_assigner_is_replaced_before_grants_expire)
{
    elected_site site({ 2, 2, 2 });
    electing_instance *former = site.runUntilAssigned();
    cr_assert_not_null(former);
    former->runner.setIsolated(true);
    cr_expect_not(former->runner.isLeader());
    const auto replaced = site.runUntilAssignerOtherThan(former, 2s);
    cr_assert(replaced.has_value());
    cr_expect(*replaced < 1s);
    site.run(1s);
    // A renewal may have been due when the assigner resigned; the successor has 1 s.
    cr_expect(site.takeLongestGap() < 1700ms);
    cr_expect(former->runner.leadsZoneGroup(), "the relay of its zone does not change, because another instance assigns");
}

// Guards against keys that nobody assigns, because the assigner is elected among the relays and all of them are isolated.
Test(isolated_roles, instance_that_is_no_relay_takes_over_if_all_relays_are_isolated)
{
    elected_site site({ 3, 3 });
    cr_assert_not_null(site.runUntilAssigned());
    const std::vector<electing_instance *> isolated = site.relays();
    cr_assert_eq(isolated.size(), 2U);
    for (electing_instance *each : isolated) {
        each->runner.setIsolated(true);
    }
    const auto replaced = site.runUntilAssignerOtherThan(nullptr, 4s);
    cr_assert(replaced.has_value());
    cr_expect(std::find(isolated.begin(), isolated.end(), site.assigner()) == isolated.end());
    cr_expect(*replaced < 1s);
    site.run(3s);
    cr_expect_not_null(site.assigner());
    cr_expect(site.takeLongestGap() < 2500ms, "no grant expires");
    cr_expect(site.relays() == isolated, "isolated relays read the store for their zones all the same");
}

// Guards against keys that nobody assigns, because an assigner that has just taken over from a lost one is isolated, and the lost one may still send.
Test(isolated_roles, instance_that_is_no_relay_takes_over_from_an_isolated_successor)
{
    elected_site site({ 3, 3, 1 });
    electing_instance *lost = site.runUntilAssigned();
    cr_assert_not_null(lost);
    std::erase_if(site.instances(), [lost](const auto &each) {
        return each.get() == lost;
    });
    cr_assert(site.runUntilAssignerOtherThan(nullptr, 3s).has_value());
    // A lost relay is replaced after 2 s.
    site.run(3s);
    const std::vector<electing_instance *> isolated = site.relays();
    for (electing_instance *each : isolated) {
        each->runner.setIsolated(true);
    }
    const auto replaced = site.runUntilAssignerOtherThan(nullptr, 4s);
    cr_assert(replaced.has_value());
    cr_expect(std::find(isolated.begin(), isolated.end(), site.assigner()) == isolated.end());
    cr_expect(*replaced < 1s);
}

// Guards against keys that nobody assigns, because the assigner is killed while all relays are isolated: the records still name it.
Test(isolated_roles, instance_that_is_no_relay_takes_over_from_a_killed_assigner)
{
    elected_site site({ 3, 3 });
    cr_assert_not_null(site.runUntilAssigned());
    const std::vector<electing_instance *> isolated = site.relays();
    for (electing_instance *each : isolated) {
        each->runner.setIsolated(true);
    }
    cr_assert(site.runUntilAssignerOtherThan(nullptr, 4s).has_value());
    // The other instances that stood in leave the election.
    site.run(7s);
    electing_instance *standIn = site.assigner();
    cr_assert_not_null(standIn);
    std::erase_if(site.instances(), [standIn](const auto &each) {
        return each.get() == standIn;
    });
    // An instance asks each second, waits for answers for 2 s, and stands in after 0.6 s at most.
    cr_expect(site.runUntilAssignerOtherThan(nullptr, 6s).value_or(6s) < 4s);
    cr_expect(std::find(isolated.begin(), isolated.end(), site.assigner()) == isolated.end());
}

// Guards against keys that stay unassigned after all instances were isolated, and against zones without a relay meanwhile.
Test(isolated_roles, keys_are_assigned_again_after_all_instances_were_isolated)
{
    elected_site site({ 2, 2 });
    cr_assert_not_null(site.runUntilAssigned());
    for (const auto &each : site.instances()) {
        each->runner.setIsolated(true);
    }
    site.run(4s);
    cr_expect_null(site.assigner());
    cr_expect_eq(site.relays().size(), 2U);
    const std::size_t before = site.orders();
    for (const auto &each : site.instances()) {
        each->runner.setIsolated(false);
    }
    cr_expect(site.runUntilAssignerOtherThan(nullptr, 2s).value_or(2s) < 1s);
    site.run(200ms);
    cr_expect(site.orders() > before);
}

// Guards against a successor that waits, because the resignation was not written while another record was.
Test(isolated_roles, isolated_assigner_resigns_when_the_store_answers_again)
{
    elected_site site({ 1, 1 });
    electing_instance *former = site.runUntilAssigned();
    cr_assert_not_null(former);
    site.store().setProducersUnanswered(true);
    former->runner.setIsolated(true);
    site.run(600ms);
    site.store().setProducersUnanswered(false);
    cr_expect(site.runUntilAssignerOtherThan(former, 2s).value_or(2s) < 1s);
}

// Guards against an isolated instance that takes the role of the assigner after its start, or with a claim that was under way.
Test(isolated_roles, isolated_instance_does_not_become_assigner)
{
    elected_site site({ 1, 1 });
    for (const auto &each : site.instances()) {
        each->runner.setIsolated(true);
    }
    site.run(2s);
    cr_expect_null(site.assigner());
    site.instances().front()->runner.setIsolated(false);
    // The next tick starts the claim, of which the store has not told yet.
    site.run(1ms);
    site.instances().front()->runner.setIsolated(true);
    site.run(1s);
    cr_expect_null(site.assigner());
}

// Guards against an election with each interruption of an unstable path.
Test(isolated_roles, unstable_path_causes_one_change_of_the_assigner)
{
    elected_site site({ 1, 1 });
    electing_instance *former = site.runUntilAssigned();
    cr_assert_not_null(former);
    const std::uint64_t epoch = site.store().highestEpoch();
    for (int i = 0; i < 8; ++i) {
        former->runner.setIsolated(true);
        site.run(300ms);
        former->runner.setIsolated(false);
        site.run(300ms);
    }
    cr_expect_neq(site.assigner(), former);
    cr_expect(site.store().highestEpoch() <= epoch + 1, "%lu epochs", site.store().highestEpoch() - epoch);
    cr_expect(site.takeLongestGap() < 1700ms);
}

// Guards against an isolated relay that refuses the reads of other relays after one slow answer of the store, and against more calls of the store
// than before the isolation.
Test(isolated_roles, isolated_relay_serves_other_relays_through_a_slow_join)
{
    elected_site site({ 1, 1 });
    cr_assert_not_null(site.runUntilAssigned());
    electing_instance *relay = site.relays().front();
    const std::size_t before = site.store().joins();
    site.run(2s);
    const std::size_t calm = site.store().joins() - before;
    relay->runner.setIsolated(true);
    const std::size_t atIsolation = site.store().joins();
    site.run(2s);
    // The resignation causes one more.
    cr_expect_leq(site.store().joins() - atIsolation, calm + 1);
    for (int round = 0; round < 6; ++round) {
        // All joins within the next 0.35 s are slow, of which there is one at least.
        site.store().setJoinDelay(300ms);
        for (int i = 0; i < 70; ++i) {
            if (i == 35) {
                site.store().setJoinDelay({});
            }
            site.run(10ms);
            cr_expect(relay->runner.isCurrentRelay(true));
        }
    }
}

// Guards against small instances that stay out of the election while all relays are isolated.
Test(isolated_roles, small_instances_take_over_if_all_relays_are_isolated)
{
    elected_site site({ 3, 3 }, 0.1);
    // The first standby of a zone joins after 2.5 s or more, and the others leave 6 s after it has become the relay.
    site.run(6s);
    cr_assert_not_null(site.runUntilAssigned());
    site.run(8s);
    const std::vector<electing_instance *> isolated = site.relays();
    for (electing_instance *each : isolated) {
        each->runner.setIsolated(true);
    }
    const auto replaced = site.runUntilAssignerOtherThan(nullptr, 6s);
    cr_assert(replaced.has_value());
    cr_expect(std::find(isolated.begin(), isolated.end(), site.assigner()) == isolated.end());
    // A renewal may have been due when the assigner resigned.
    cr_expect(*replaced < 1700ms);
}

// Guards against roles that an isolated instance keeps although it is being stopped.
Test(isolated_roles, isolated_instance_can_be_stopped)
{
    elected_site site({ 2, 1 });
    electing_instance *former = site.runUntilAssigned();
    cr_assert_not_null(former);
    former->runner.setIsolated(true);
    former->runner.leave();
    former->runner.setIsolated(false);
    cr_expect(site.runUntilAssignerOtherThan(former, 2s).has_value());
    site.run(1s);
    cr_expect_not(former->runner.isLeader());
}
