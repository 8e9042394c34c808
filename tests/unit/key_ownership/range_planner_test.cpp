#include "key_ownership/range_planner.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace sycamoretray;

namespace
{

/** Returns a load in which @p keys, evenly, keep @p slots worker slots busy in total. */
key_load demandOf(key_range keys, double slots)
{
    key_load load;
    load_report report;
    report.instance = instance_id("i");
    // A constant rate accumulates to rate * half-life / ln 2.
    const double averaged = 1.2 / 0.6931;
    const auto each = std::chrono::duration_cast<time_span>(std::chrono::duration<double>(slots * averaged / (keys.last - keys.first + 1)));
    for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
        report.keys.push_back({ key_number(static_cast<std::uint16_t>(key)), each });
    }
    load.add(report, monotonic_time(std::chrono::seconds(1)));
    return load;
}

std::vector<planning_range> evenRanges(std::size_t endpoints)
{
    std::vector<planning_range> ranges;
    const std::uint32_t width = keyCount / static_cast<std::uint32_t>(endpoints);
    for (std::size_t i = 0; i < endpoints; ++i) {
        const auto first = static_cast<std::uint32_t>(i) * width;
        ranges.push_back({ { first, i + 1 == endpoints ? keyCount - 1 : first + width - 1 }, i, true });
    }
    return ranges;
}

double maxUtilization(const range_planner &planner, std::size_t endpoints)
{
    double highest = 0;
    for (std::size_t i = 0; i < endpoints; ++i) {
        highest = std::max(highest, planner.utilization(i));
    }
    return highest;
}

} // namespace

// Load pattern: the start of a deployment, when the demand is unknown.
Test(range_planner, first_assignment_is_even)
{
    const key_load load;
    range_planner planner(load, std::vector<planning_endpoint>(20, { 2, 1, false }), { { { 0, keyCount - 1 }, std::nullopt, false } }, {});
    const auto moves = planner.assignUnowned();
    cr_assert_eq(moves.size(), 20U);
    std::uint32_t next = 0;
    for (const planned_move &move : moves) {
        cr_expect_eq(move.keys.first, next);
        next = move.keys.last + 1;
        cr_expect(move.keys.last - move.keys.first + 1 < keyCount / 20.0 * 1.1);
    }
    cr_expect_eq(next, keyCount);
}

// Load pattern: 200 adjacent keys, all held by one endpoint, receive twice the load that the endpoint can process.
Test(range_planner, hot_range_is_split_over_idle_endpoints)
{
    const key_load load = demandOf({ 1000, 1199 }, 4);
    range_planner planner(load, std::vector<planning_endpoint>(20, { 2, 1, false }), evenRanges(20), {});
    cr_expect(planner.utilization(0) > 1.8);
    auto ranges = evenRanges(20);
    std::size_t rounds = 0;
    while (rounds < 6) {
        range_planner round(load, std::vector<planning_endpoint>(20, { 2, 1, false }), ranges, {});
        const auto moves = round.balance(8);
        if (moves.empty()) {
            break;
        }
        ++rounds;
        std::vector<planning_range> next;
        for (std::size_t i = 0; i < ranges.size(); ++i) {
            const auto move = std::find_if(moves.begin(), moves.end(), [&](const planned_move &each) {
                return each.range == i;
            });
            if (move == moves.end()) {
                next.push_back(ranges[i]);
                continue;
            }
            if (ranges[i].keys.first < move->keys.first) {
                next.push_back({ { ranges[i].keys.first, move->keys.first - 1 }, ranges[i].owner, true });
            }
            next.push_back({ move->keys, move->target, true });
            if (move->keys.last < ranges[i].keys.last) {
                next.push_back({ { move->keys.last + 1, ranges[i].keys.last }, ranges[i].owner, true });
            }
        }
        ranges = next;
    }
    const range_planner after(load, std::vector<planning_endpoint>(20, { 2, 1, false }), ranges, {});
    cr_expect(maxUtilization(after, 20) < 0.75, "busiest %.2f after %zu rounds", maxUtilization(after, 20), rounds);
}

// Load pattern: one key exceeds the capacity of any endpoint. It is not moved; other keys of its endpoint are.
Test(range_planner, other_keys_move_away_from_an_overloaded_key)
{
    key_load load = demandOf({ 500, 500 }, 3);
    load_report rest;
    rest.instance = instance_id("i");
    for (std::uint32_t key = 600; key < 700; ++key) {
        rest.keys.push_back({ key_number(static_cast<std::uint16_t>(key)), std::chrono::milliseconds(20) });
    }
    load.add(rest, monotonic_time(std::chrono::seconds(1)));
    range_planner planner(load, std::vector<planning_endpoint>(4, { 2, 1, false }), evenRanges(4), {});
    const auto moves = planner.balance(8);
    cr_assert_not(moves.empty());
    for (const planned_move &move : moves) {
        cr_expect(move.keys.first > 500 || move.keys.last < 500, "the hot key itself was moved");
    }
}

// Load pattern: evenly spread load. Small differences in utilization move no keys.
Test(range_planner, even_load_moves_nothing)
{
    const key_load load = demandOf({ 0, keyCount - 1 }, 10);
    range_planner planner(load, std::vector<planning_endpoint>(20, { 2, 1, false }), evenRanges(20), {});
    cr_expect(planner.balance(8).empty());
}

// Load pattern: an endpoint takes three times as long as the others.
Test(range_planner, slow_endpoint_gives_keys_away)
{
    const key_load load = demandOf({ 0, keyCount - 1 }, 8);
    std::vector<planning_endpoint> endpoints(8, { 2, 1, false });
    endpoints[3].slowness = 3;
    range_planner planner(load, endpoints, evenRanges(8), {});
    const auto moves = planner.balance(8);
    cr_assert_not(moves.empty());
    cr_expect(planner.utilization(3) < 1);
    for (const planned_move &move : moves) {
        cr_expect_neq(move.target, 3U);
    }
}

// Load pattern: an endpoint has just started. It receives no keys to balance load while other endpoints can take them.
Test(range_planner, cold_endpoints_receive_no_keys)
{
    const key_load load = demandOf({ 0, 1000 }, 3);
    std::vector<planning_endpoint> endpoints(6, { 2, 1, false });
    endpoints[5].cold = true;
    range_planner planner(load, endpoints, evenRanges(6), {});
    for (const planned_move &move : planner.balance(8)) {
        cr_expect_neq(move.target, 5U);
    }
}

// Guards against keys that are given to an endpoint because it fails fast and so looks idle.
Test(range_planner, failing_endpoints_receive_no_keys)
{
    const key_load load = demandOf({ 0, 1000 }, 3);
    std::vector<planning_endpoint> endpoints(6, { 2, 1, false });
    endpoints[5].failing = true;
    range_planner planner(load, endpoints, evenRanges(6), {});
    const auto moves = planner.balance(8);
    cr_assert_not(moves.empty());
    for (const planned_move &move : moves) {
        cr_expect_neq(move.target, 5U);
    }
}

// Load pattern: few requests per endpoint. Guards against moves that are caused by random request arrivals alone.
Test(range_planner, random_differences_between_equal_endpoints_move_nothing)
{
    constexpr std::size_t endpointCount = 21;
    constexpr std::uint32_t requestsPerSecond = 56;
    constexpr time_span work = std::chrono::milliseconds(200);
    constexpr time_span reportInterval = std::chrono::milliseconds(400);
    std::mt19937_64 random(11);
    std::uniform_int_distribution<std::uint32_t> anyKey(0, keyCount - 1);
    std::poisson_distribution<std::uint32_t> requests(requestsPerSecond * 0.4);
    key_load load;
    monotonic_time now(std::chrono::seconds(1));
    std::size_t moves = 0;
    for (int plan = 0; plan < 75; ++plan) {
        now += reportInterval;
        load_report report;
        report.instance = instance_id("i");
        const std::uint32_t arrived = requests(random);
        for (std::uint32_t i = 0; i < arrived; ++i) {
            report.keys.push_back({ key_number(static_cast<std::uint16_t>(anyKey(random))), work });
        }
        report.endpoints.push_back({ endpoint_id("e"), arrived, work * arrived, work * arrived, 0, std::nullopt });
        load.advance(now);
        load.add(report, now);
        range_planner planner(load, std::vector<planning_endpoint>(endpointCount, { 2, 1, false }), evenRanges(endpointCount), {});
        moves += planner.balance(8).size();
    }
    // Within 30 s. Without minSignificance there are more than 100 moves.
    cr_expect_leq(moves, 10U);
}

// Load pattern: endpoints are added under low load. Keys are assigned to each of them.
Test(range_planner, added_endpoints_get_keys_under_low_load)
{
    const key_load load = demandOf({ 0, keyCount - 1 }, 2);
    std::vector<planning_range> ranges = evenRanges(8);
    range_planner planner(load, std::vector<planning_endpoint>(10, { 2, 1, false }), ranges, {});
    const auto moves = planner.balance(8);
    cr_assert_eq(moves.size(), 2U);
    cr_expect(std::min(moves[0].target, moves[1].target) == 8U);
    cr_expect(std::max(moves[0].target, moves[1].target) == 9U);
}
