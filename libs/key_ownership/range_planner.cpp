#include "key_ownership/range_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamoretray
{

namespace
{

// Share of the demand that is assumed to be spread evenly over all keys, besides what was measured.
constexpr double assumedShare = 0.1;
constexpr double leastAssumedDemand = 0.05;
// Smallest part given to an endpoint, as a share of what an endpoint would have if all were even.
constexpr double smallestPart = 0.25;
// Most that a part may exceed the wanted demand: beyond it the receiver would become the busiest.
constexpr double mostExcess = 1.25;
// Least part of the wanted demand for which a move is worth its interruption.
constexpr double leastUse = 0.2;

} // namespace

range_planner::range_planner(const key_load &load, std::vector<planning_endpoint> endpoints, std::vector<planning_range> ranges, planner_settings settings)
    : m_load(load)
    , m_endpoints(std::move(endpoints))
    , m_ranges(std::move(ranges))
    , m_settings(settings)
    , m_demand(m_endpoints.size())
    , m_holdsKeys(m_endpoints.size())
{
    const double total = m_load.demand({ 0, keyCount - 1 });
    m_assumedDemand = std::max(total * assumedShare, leastAssumedDemand) / keyCount;
    for (const planning_range &range : m_ranges) {
        if (range.owner) {
            m_demand[*range.owner] += rangeDemand(range.keys);
            m_holdsKeys[*range.owner] = true;
        }
    }
}

double range_planner::keyDemand(std::uint32_t key) const
{
    return m_load.demand(key) + m_assumedDemand;
}

double range_planner::rangeDemand(key_range keys) const
{
    return m_load.demand(keys) + m_assumedDemand * (keys.last - keys.first + 1);
}

double range_planner::capacity(std::size_t endpoint) const
{
    return m_endpoints[endpoint].workerSlots / m_endpoints[endpoint].slowness;
}

double range_planner::utilization(std::size_t endpoint) const
{
    return m_demand[endpoint] / capacity(endpoint);
}

double range_planner::meanUtilization(double additionalDemand) const
{
    double demand = additionalDemand;
    double total = 0;
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        demand += m_demand[i];
        total += capacity(i);
    }
    return demand / total;
}

double range_planner::utilizationVariance(std::size_t endpoint) const
{
    return m_demand[endpoint] * m_load.meanWork() / key_load::averagingSeconds / (capacity(endpoint) * capacity(endpoint));
}

bool range_planner::isWorthMove(std::size_t donor, std::size_t taker) const
{
    const double difference = utilization(donor) - utilization(taker);
    if (!m_holdsKeys[taker]) {
        // An endpoint that has just been added serves nobody until it is given keys.
        return difference > 0;
    }
    const double deviation = std::sqrt(utilizationVariance(donor) + utilizationVariance(taker));
    const double least = std::max({ m_settings.leastDifference, m_settings.leastShare * meanUtilization(0), m_settings.leastSignificance * deviation });
    return utilization(donor) >= m_settings.idleUtilization && difference >= least;
}

std::size_t range_planner::leastUtilized(bool allowCold) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        if ((allowCold || !m_endpoints[i].cold) && (!best || utilization(i) < utilization(*best))) {
            best = i;
        }
    }
    return best ? *best : leastUtilized(true);
}

std::vector<planned_move> range_planner::shareOut()
{
    std::vector<planned_move> moves;
    for (std::size_t index = 0; index < m_ranges.size(); ++index) {
        if (!m_ranges[index].owner) {
            shareOutRange(index, moves);
        }
    }
    return moves;
}

void range_planner::shareOutRange(std::size_t index, std::vector<planned_move> &moves)
{
    const key_range keys = m_ranges[index].keys;
    double remaining = rangeDemand(keys);
    const double evenUtilization = meanUtilization(remaining);
    const bool anyWarm = std::any_of(m_endpoints.begin(), m_endpoints.end(), [](const planning_endpoint &endpoint) {
        return !endpoint.cold;
    });
    std::uint32_t first = keys.first;
    while (first <= keys.last) {
        const std::size_t target = leastUtilized(!anyWarm);
        const double evenDemand = evenUtilization * capacity(target);
        const double part = std::max(evenDemand - m_demand[target], smallestPart * evenDemand);
        double taken = 0;
        std::uint32_t last = first;
        taken += keyDemand(last);
        while (last < keys.last && (taken < part || remaining - taken < smallestPart * evenDemand)) {
            ++last;
            taken += keyDemand(last);
        }
        moves.push_back({ index, { first, last }, target });
        m_demand[target] += taken;
        remaining -= taken;
        first = last + 1;
    }
}

std::vector<planned_move> range_planner::balance(std::size_t mostMoves)
{
    std::vector<planned_move> moves;
    std::vector<bool> donated(m_endpoints.size());
    while (moves.size() < mostMoves) {
        const std::size_t taker = leastUtilized(false);
        std::optional<std::size_t> donor;
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
            if (!donated[i] && (!donor || utilization(i) > utilization(*donor))) {
                donor = i;
            }
        }
        if (!donor || *donor == taker || !isWorthMove(*donor, taker)) {
            break;
        }
        const double difference = utilization(*donor) - utilization(taker);
        // The demand that makes both equally utilized.
        const double wanted = difference / (1 / capacity(*donor) + 1 / capacity(taker));
        const std::optional<choice> part = choosePart(*donor, wanted);
        if (!part) {
            donated[*donor] = true;
            continue;
        }
        moves.push_back({ part->range, part->keys, taker });
        m_demand[*donor] -= part->demand;
        m_demand[taker] += part->demand;
        m_holdsKeys[taker] = true;
        m_ranges[part->range].movable = false;
    }
    return moves;
}

std::optional<range_planner::choice> range_planner::choosePart(std::size_t donor, double wanted) const
{
    std::optional<choice> best;
    for (std::size_t index = 0; index < m_ranges.size(); ++index) {
        if (m_ranges[index].owner != donor || !m_ranges[index].movable) {
            continue;
        }
        const choice part = bestPart(index, wanted);
        if (part.demand >= leastUse * wanted && (!best || std::abs(part.demand - wanted) < std::abs(best->demand - wanted))) {
            best = part;
        }
    }
    return best;
}

range_planner::choice range_planner::bestPart(std::size_t index, double wanted) const
{
    const double limit = mostExcess * wanted;
    const choice whole{ index, m_ranges[index].keys, rangeDemand(m_ranges[index].keys) };
    if (whole.demand <= limit) {
        return whole;
    }
    const choice prefix = prefixOf(index, limit);
    const choice suffix = suffixOf(index, limit);
    return std::abs(prefix.demand - wanted) <= std::abs(suffix.demand - wanted) ? prefix : suffix;
}

range_planner::choice range_planner::prefixOf(std::size_t index, double limit) const
{
    const key_range keys = m_ranges[index].keys;
    choice result{ index, { keys.first, keys.first }, 0 };
    std::uint32_t next = keys.first;
    while (next <= keys.last && result.demand + keyDemand(next) <= limit) {
        result.demand += keyDemand(next);
        result.keys.last = next;
        ++next;
    }
    return result;
}

range_planner::choice range_planner::suffixOf(std::size_t index, double limit) const
{
    const key_range keys = m_ranges[index].keys;
    choice result{ index, { keys.last, keys.last }, 0 };
    std::uint32_t remaining = keys.last - keys.first + 1;
    while (remaining > 0 && result.demand + keyDemand(keys.first + remaining - 1) <= limit) {
        result.demand += keyDemand(keys.first + remaining - 1);
        result.keys.first = keys.first + remaining - 1;
        --remaining;
    }
    return result;
}

} // namespace sycamoretray
