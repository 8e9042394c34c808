#include "key_ownership/range_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamoretray
{

namespace
{

// Demand that is assumed in addition to the reported demand and spread evenly over all keys, as a fraction of the total.
constexpr double assumedDemandShare = 0.1;
constexpr double minAssumedDemand = 0.05;
// Minimum demand of a part assigned to an endpoint, as a fraction of its demand at even utilization.
constexpr double minPartOfEvenShare = 0.25;
// Maximum demand of a moved part, as a multiple of the wanted demand: a larger part would make the recipient the busiest endpoint.
constexpr double maxPartOfWanted = 1.25;
// Minimum demand of a moved part, as a fraction of the wanted demand, that justifies interrupting its keys.
constexpr double minPartOfWanted = 0.2;

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
    m_assumedDemand = std::max(total * assumedDemandShare, minAssumedDemand) / keyCount;
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

bool range_planner::isMoveWorthwhile(std::size_t donor, std::size_t recipient) const
{
    const double difference = utilization(donor) - utilization(recipient);
    if (!m_holdsKeys[recipient]) {
        // A new endpoint serves no requests until keys are assigned to it.
        return difference > 0;
    }
    const double deviation = std::sqrt(utilizationVariance(donor) + utilizationVariance(recipient));
    const double threshold = std::max({ m_settings.minDifference, m_settings.minDifferenceShare * meanUtilization(0), m_settings.minSignificance * deviation });
    return utilization(donor) >= m_settings.idleUtilization && difference >= threshold;
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

std::vector<planned_move> range_planner::assignUnowned()
{
    std::vector<planned_move> moves;
    for (std::size_t index = 0; index < m_ranges.size(); ++index) {
        if (!m_ranges[index].owner) {
            assignUnownedRange(index, moves);
        }
    }
    return moves;
}

void range_planner::assignUnownedRange(std::size_t index, std::vector<planned_move> &moves)
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
        const double wantedDemand = std::max(evenDemand - m_demand[target], minPartOfEvenShare * evenDemand);
        double partDemand = 0;
        std::uint32_t last = first;
        partDemand += keyDemand(last);
        while (last < keys.last && (partDemand < wantedDemand || remaining - partDemand < minPartOfEvenShare * evenDemand)) {
            ++last;
            partDemand += keyDemand(last);
        }
        moves.push_back({ index, { first, last }, target });
        m_demand[target] += partDemand;
        remaining -= partDemand;
        first = last + 1;
    }
}

std::vector<planned_move> range_planner::balance(std::size_t maxMoves)
{
    std::vector<planned_move> moves;
    std::vector<bool> donated(m_endpoints.size());
    while (moves.size() < maxMoves) {
        const std::size_t recipient = leastUtilized(false);
        std::optional<std::size_t> donor;
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
            if (!donated[i] && (!donor || utilization(i) > utilization(*donor))) {
                donor = i;
            }
        }
        if (!donor || *donor == recipient || m_endpoints[recipient].cold || !isMoveWorthwhile(*donor, recipient)) {
            break;
        }
        const double difference = utilization(*donor) - utilization(recipient);
        // Moving this demand equalizes both utilizations.
        const double wanted = difference / (1 / capacity(*donor) + 1 / capacity(recipient));
        const std::optional<candidate_part> part = choosePart(*donor, wanted);
        if (!part) {
            donated[*donor] = true;
            continue;
        }
        moves.push_back({ part->range, part->keys, recipient });
        m_demand[*donor] -= part->demand;
        m_demand[recipient] += part->demand;
        m_holdsKeys[recipient] = true;
        m_ranges[part->range].movable = false;
    }
    return moves;
}

std::optional<range_planner::candidate_part> range_planner::choosePart(std::size_t donor, double wanted) const
{
    std::optional<candidate_part> best;
    for (std::size_t index = 0; index < m_ranges.size(); ++index) {
        if (m_ranges[index].owner != donor || !m_ranges[index].movable) {
            continue;
        }
        const candidate_part part = bestPart(index, wanted);
        if (part.demand >= minPartOfWanted * wanted && (!best || std::abs(part.demand - wanted) < std::abs(best->demand - wanted))) {
            best = part;
        }
    }
    return best;
}

range_planner::candidate_part range_planner::bestPart(std::size_t index, double wanted) const
{
    const double limit = maxPartOfWanted * wanted;
    const candidate_part whole{ index, m_ranges[index].keys, rangeDemand(m_ranges[index].keys) };
    if (whole.demand <= limit) {
        return whole;
    }
    const candidate_part prefix = prefixOf(index, limit);
    const candidate_part suffix = suffixOf(index, limit);
    return std::abs(prefix.demand - wanted) <= std::abs(suffix.demand - wanted) ? prefix : suffix;
}

range_planner::candidate_part range_planner::prefixOf(std::size_t index, double limit) const
{
    const key_range keys = m_ranges[index].keys;
    candidate_part result{ index, { keys.first, keys.first }, 0 };
    std::uint32_t next = keys.first;
    while (next <= keys.last && result.demand + keyDemand(next) <= limit) {
        result.demand += keyDemand(next);
        result.keys.last = next;
        ++next;
    }
    return result;
}

range_planner::candidate_part range_planner::suffixOf(std::size_t index, double limit) const
{
    const key_range keys = m_ranges[index].keys;
    candidate_part result{ index, { keys.last, keys.last }, 0 };
    std::uint32_t remaining = keys.last - keys.first + 1;
    while (remaining > 0 && result.demand + keyDemand(keys.first + remaining - 1) <= limit) {
        result.demand += keyDemand(keys.first + remaining - 1);
        result.keys.first = keys.first + remaining - 1;
        --remaining;
    }
    return result;
}

} // namespace sycamoretray
