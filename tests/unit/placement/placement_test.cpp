#include "placement/home_ranking.h"
#include "placement/placement_policy.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace sycamoretray;

namespace
{

placement_servers makeServers(std::size_t count)
{
    placement_servers servers;
    for (std::size_t i = 0; i < count; ++i) {
        servers.push_back(placement_server{ server_id("s/e" + std::to_string(100 + i)), true });
    }
    return servers;
}

std::size_t countSlotsOf(const slot_owners &owners, server_index server)
{
    return static_cast<std::size_t>(std::count(owners.begin(), owners.end(), server));
}

std::size_t countDifferences(const slot_owners &a, const slot_owners &b)
{
    std::size_t differences = 0;
    for (std::size_t slot = 0; slot < a.size(); ++slot) {
        differences += a[slot] != b[slot] ? 1 : 0;
    }
    return differences;
}

slot_owners balanced(const placement_servers &servers)
{
    return fewest_slots_policy().balance(slot_owners(hashSlotCount, noServer), servers);
}

} // namespace

// Guards against moving slots of remaining servers when one server is lost.
Test(fewest_slots, loss_moves_only_the_lost_slots)
{
    placement_servers servers = makeServers(20);
    const slot_owners before = balanced(servers);
    servers[7].eligible = false;
    slot_owners withoutLost = before;
    std::replace(withoutLost.begin(), withoutLost.end(), server_index{ 7 }, noServer);
    const slot_owners after = fewest_slots_policy().fillUnowned(withoutLost, servers);
    cr_expect(countDifferences(before, after) == countSlotsOf(before, 7));
    cr_expect(countSlotsOf(after, 7) == 0);
    for (server_index i = 0; i < 20; ++i) {
        cr_expect(i == 7 || countSlotsOf(after, i) == 862 || countSlotsOf(after, i) == 863);
    }
}

// Guards against moving more slots than necessary when a server joins.
Test(fewest_slots, join_moves_the_minimum)
{
    const placement_servers servers = makeServers(19);
    const slot_owners before = balanced(servers);
    const slot_owners after = fewest_slots_policy().balance(before, makeServers(20));
    cr_expect(countDifferences(before, after) == hashSlotCount / 20);
    cr_expect(countSlotsOf(after, 19) == hashSlotCount / 20);
}

// Guards against successive plans that contradict each other: a plan computed again after some of the servers have carried out their
// part of it must not move any slot twice.
Test(fewest_slots, plan_stays_stable_while_it_is_carried_out)
{
    std::mt19937 random(41);
    const placement_servers servers = makeServers(9);
    slot_owners owners(hashSlotCount);
    for (server_index &owner : owners) {
        owner = static_cast<server_index>(random() % 6);
    }
    const std::size_t minimum = countDifferences(owners, fewest_slots_policy().balance(owners, servers));
    std::size_t moved = 0;
    for (int round = 0; round < 2000; ++round) {
        const slot_owners target = fewest_slots_policy().balance(owners, servers);
        const auto from = static_cast<server_index>(random() % 6);
        std::size_t batch = 0;
        for (std::size_t slot = owners.size(); slot-- > 0 && batch < 64;) {
            if (owners[slot] == from && target[slot] != from) {
                owners[slot] = target[slot];
                ++batch;
            }
        }
        moved += batch;
    }
    cr_expect(moved <= minimum + minimum / 20, "moved %zu, minimum %zu", moved, minimum);
    cr_expect(countDifferences(owners, fewest_slots_policy().balance(owners, servers)) == 0);
}

// Guards against a table that loses slots when no server may own them.
Test(fewest_slots, without_eligible_server_nothing_changes)
{
    placement_servers servers = makeServers(2);
    const slot_owners before = balanced(servers);
    servers[0].eligible = servers[1].eligible = false;
    cr_expect(fewest_slots_policy().balance(before, servers) == before);
    cr_expect(fewest_slots_policy().fillUnowned(slot_owners(10, noServer), servers) == slot_owners(10, noServer));
}

// Guards against a baseline that violates its own definition, which would invalidate comparisons with it.
Test(baselines, bounded_ring_keeps_its_bound_and_rendezvous_moves_only_lost_slots)
{
    placement_servers servers = makeServers(20);
    const slot_owners none(hashSlotCount, noServer);
    const slot_owners ring = balance(bounded_ring_policy(), none, servers);
    for (server_index i = 0; i < 20; ++i) {
        cr_expect(countSlotsOf(ring, i) <= (hashSlotCount * 5 + 79) / 80);
    }
    const slot_owners before = balance(rendezvous_policy(), none, servers);
    servers[3].eligible = false;
    cr_expect(countDifferences(before, balance(rendezvous_policy(), before, servers)) == countSlotsOf(before, 3));
}

// Guards against instances that disagree on the order of claims, and against a home in the zone of the server if another zone is available.
Test(home_ranking, order_is_by_homes_then_zone_and_independent_of_input_order)
{
    std::vector<ranked_instance> candidates = { { incarnation_id("a#1"), availability_zone("z1"), 2 },
                                                { incarnation_id("b#1"), availability_zone("z1"), 1 },
                                                { incarnation_id("c#1"), availability_zone("z2"), 1 } };
    const auto ranked = rankHomes(server_id("s/e"), availability_zone("z1"), candidates);
    cr_expect(ranked[0].incarnation == incarnation_id("c#1"));
    cr_expect(ranked[1].incarnation == incarnation_id("b#1"));
    std::reverse(candidates.begin(), candidates.end());
    cr_expect(rankHomes(server_id("s/e"), availability_zone("z1"), candidates)[2].incarnation == incarnation_id("a#1"));
}
