#include "key_ownership/range_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
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
// Utilization to which a recipient is filled. Without it, the first recipient of a load that needs dozens of endpoints would get half of it.
constexpr double fillUtilization = 0.75;
constexpr double fillOfMean = 1.1;
// Cost of moving an endpoint's even share of the keys, in multiples of the wanted demand by which a part may be off.
constexpr double keyCost = 0.5;
// Cost of each range that a split adds.
constexpr double splitCost = 0.1;
// A faster owner is worth an interruption of the key from this ratio on.
constexpr double minFastOwnerRatio = 1.3;
// Number of adjacent keys whose demand is compared with their recent demand.
constexpr std::uint32_t keysPerBlock = 64;
// The recent demand counts if it differs by this ratio, and by so many standard deviations of what the random number of requests causes.
constexpr double minChangeRatio = 1.3;
constexpr double minChangeSignificance = 4;
// Capacities are measured: those of at least this fraction of the highest count as equal.
constexpr double equallyFast = 0.9;
// Endpoints of which one key uses more than this are no fast owner for another key.
constexpr double maxBusyKeyOfFastOwner = 0.5;

/** Returns whether the demand for some keys rises or falls, so that the recent average is closer to it. */
bool hasChanged(double demand, double recent, double meanWork)
{
    if (demand <= 0 || meanWork <= 0 || (recent < demand * minChangeRatio && recent > demand / minChangeRatio)) {
        return false;
    }
    // Variance of the difference of two exponential averages of the same random arrivals.
    constexpr double slow = key_load::averagingSeconds;
    constexpr double fast = key_load::recentAveragingSeconds;
    constexpr double varianceFactor = (slow - fast) * (slow - fast) / (2 * slow * fast * (slow + fast));
    const double deviation = std::sqrt(meanWork * std::max(demand, recent) * varianceFactor);
    return std::abs(recent - demand) > minChangeSignificance * deviation;
}

} // namespace

range_planner::range_planner(const key_load &load, std::vector<planning_endpoint> endpoints, std::vector<planning_range> ranges, planner_settings settings)
    : m_endpoints(std::move(endpoints))
    , m_settings(settings)
    , m_meanWork(load.meanWork())
    , m_demandBelow(keyCount + 1)
    , m_demand(m_endpoints.size())
    , m_holdsKeys(m_endpoints.size())
{
    sumDemand(load);
    m_ranges.reserve(ranges.size());
    for (const planning_range &range : ranges) {
        m_ranges.push_back({ range, m_ranges.size() });
        if (range.owner) {
            m_demand[*range.owner] += rangeDemand(range.keys);
            m_holdsKeys[*range.owner] = true;
        }
    }
}

void range_planner::sumDemand(const key_load &load)
{
    std::vector<double> factors(keyCount / keysPerBlock);
    double total = 0;
    for (std::uint32_t block = 0; block < factors.size(); ++block) {
        const key_range keys{ block * keysPerBlock, (block + 1) * keysPerBlock - 1 };
        const double demand = load.demand(keys);
        const double recent = load.recentDemand(keys);
        const bool changed = hasChanged(demand, recent, m_meanWork);
        factors[block] = changed ? recent / demand : 1;
        total += changed ? recent : demand;
    }
    // Every key gets some demand, so that ranges are divided evenly while their demand is unknown.
    const double assumed = std::max(total * assumedDemandShare, minAssumedDemand) / keyCount;
    for (std::uint32_t key = 0; key < keyCount; ++key) {
        m_demandBelow[key + 1] = m_demandBelow[key] + (factors[key / keysPerBlock] * load.demand(key) + assumed);
    }
}

double range_planner::keyDemand(std::uint32_t key) const
{
    return m_demandBelow[key + 1] - m_demandBelow[key];
}

double range_planner::rangeDemand(key_range keys) const
{
    return m_demandBelow[keys.last + 1] - m_demandBelow[keys.first];
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
    return m_demand[endpoint] * m_meanWork / key_load::averagingSeconds / (capacity(endpoint) * capacity(endpoint));
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

bool range_planner::mayReceive(std::size_t endpoint) const
{
    return !m_endpoints[endpoint].cold && !m_endpoints[endpoint].failing;
}

bool range_planner::mayDonate(const planning_range &range) const
{
    return range.movable && (!range.movedRecently || utilization(*range.owner) > 1);
}

std::optional<std::size_t> range_planner::leastUtilizedRecipient() const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        if (mayReceive(i) && (!best || utilization(i) < utilization(*best))) {
            best = i;
        }
    }
    return best;
}

std::optional<std::size_t> range_planner::mostUtilizedDonor(const std::vector<bool> &exhausted) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        if (!exhausted[i] && (!best || utilization(i) > utilization(*best))) {
            best = i;
        }
    }
    return best;
}

double range_planner::wantedDemand(std::size_t donor, std::size_t recipient) const
{
    const double difference = utilization(donor) - utilization(recipient);
    // Moving this demand equalizes both utilizations.
    const double equalizing = difference / (1 / capacity(donor) + 1 / capacity(recipient));
    const double level = std::max(fillUtilization, fillOfMean * meanUtilization(0));
    return std::min(equalizing, (level - utilization(recipient)) * capacity(recipient));
}

std::vector<planned_move> range_planner::balance(std::size_t maxMoves)
{
    std::vector<planned_move> moves;
    std::vector<bool> exhausted(m_endpoints.size());
    while (moves.size() < maxMoves) {
        const std::optional<std::size_t> recipient = leastUtilizedRecipient();
        const std::optional<std::size_t> donor = mostUtilizedDonor(exhausted);
        if (!recipient || !donor || donor == recipient || !isMoveWorthwhile(*donor, *recipient)) {
            break;
        }
        const std::optional<candidate_part> part = choosePart(*donor, wantedDemand(*donor, *recipient));
        if (part) {
            moves.push_back(take(part->range, part->keys, *recipient));
        } else {
            exhausted[*donor] = true;
        }
    }
    return moves;
}

planned_move range_planner::take(std::size_t index, key_range keys, std::size_t recipient)
{
    open_range &range = m_ranges[index];
    const double demand = rangeDemand(keys);
    m_demand[*range.owner] -= demand;
    m_demand[recipient] += demand;
    m_holdsKeys[recipient] = true;
    open_range before = range;
    open_range after = range;
    before.keys.last = keys.first - 1;
    after.keys.first = keys.last + 1;
    const key_range whole = range.keys;
    range.keys = keys;
    range.owner = recipient;
    range.movable = false;
    const std::size_t origin = range.origin;
    if (whole.first < keys.first) {
        m_ranges.push_back(before);
    }
    if (keys.last < whole.last) {
        m_ranges.push_back(after);
    }
    return { origin, keys, recipient };
}

std::optional<range_planner::candidate_part> range_planner::choosePart(std::size_t donor, double wanted) const
{
    std::optional<candidate_part> best;
    for (std::size_t index = 0; index < m_ranges.size(); ++index) {
        if (m_ranges[index].owner != donor || !mayDonate(m_ranges[index])) {
            continue;
        }
        const std::optional<candidate_part> part = bestPart(index, wanted);
        if (part && (!best || part->cost < best->cost)) {
            best = part;
        }
    }
    return best;
}

range_planner::candidate_part range_planner::candidate(std::size_t index, key_range keys, double wanted) const
{
    const key_range whole = m_ranges[index].keys;
    const double demand = rangeDemand(keys);
    const double evenShares = (keys.last - keys.first + 1.0) / keyCount * static_cast<double>(m_endpoints.size());
    const int addedRanges = (keys.first > whole.first ? 1 : 0) + (keys.last < whole.last ? 1 : 0);
    return { index, keys, demand, std::abs(demand - wanted) / wanted + keyCost * evenShares + splitCost * addedRanges };
}

std::optional<range_planner::candidate_part> range_planner::bestPart(std::size_t index, double wanted) const
{
    const key_range whole = m_ranges[index].keys;
    std::optional<candidate_part> best;
    const auto consider = [&](key_range keys) {
        const double demand = rangeDemand(keys);
        if (demand < minPartOfWanted * wanted || demand > maxPartOfWanted * wanted) {
            return;
        }
        const candidate_part part = candidate(index, keys, wanted);
        best = !best || part.cost < best->cost ? part : *best;
    };
    consider(whole);
    if (m_ranges.size() >= m_settings.maxRanges) {
        return best;
    }
    // For each first key, the part just below and the part just above the wanted demand.
    std::uint32_t last = whole.first;
    for (std::uint32_t first = whole.first; first <= whole.last; ++first) {
        last = std::max(last, first);
        while (last < whole.last && rangeDemand({ first, last }) < wanted) {
            ++last;
        }
        consider({ first, last });
        if (last > first) {
            consider({ first, last - 1 });
        }
    }
    return best;
}

std::uint32_t range_planner::busiestKey(key_range keys) const
{
    std::uint32_t best = keys.first;
    for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
        best = keyDemand(key) > keyDemand(best) ? key : best;
    }
    return best;
}

double range_planner::busiestKeyDemand(std::size_t endpoint) const
{
    double highest = 0;
    for (const open_range &range : m_ranges) {
        if (range.owner == endpoint) {
            highest = std::max(highest, keyDemand(busiestKey(range.keys)));
        }
    }
    return highest;
}

std::optional<std::size_t> range_planner::fastOwner(std::size_t owner) const
{
    std::vector<std::size_t> candidates;
    double highest = 0;
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        if (mayReceive(i) && capacity(i) >= minFastOwnerRatio * capacity(owner) && busiestKeyDemand(i) <= maxBusyKeyOfFastOwner * capacity(i)) {
            candidates.push_back(i);
            highest = std::max(highest, capacity(i));
        }
    }
    std::optional<std::size_t> best;
    for (const std::size_t each : candidates) {
        if (capacity(each) >= equallyFast * highest && (!best || utilization(each) < utilization(*best))) {
            best = each;
        }
    }
    return best;
}

std::vector<planned_move> range_planner::moveOverloadedKeys(std::size_t maxMoves, const std::function<bool(std::uint32_t key)> &mayMove)
{
    std::vector<planned_move> moves;
    const std::size_t count = m_ranges.size();
    for (std::size_t index = 0; index < count && moves.size() < maxMoves; ++index) {
        const open_range &range = m_ranges[index];
        if (!range.owner || !range.movable || rangeDemand(range.keys) <= capacity(*range.owner)) {
            continue;
        }
        const std::uint32_t key = busiestKey(range.keys);
        if (keyDemand(key) <= capacity(*range.owner) || !mayMove(key)) {
            continue;
        }
        if (const std::optional<std::size_t> recipient = fastOwner(*range.owner)) {
            moves.push_back(take(index, { key, key }, *recipient));
        }
    }
    return moves;
}

std::optional<std::size_t> range_planner::gatheringOwner(std::size_t index, const std::vector<std::size_t> &order, std::size_t position) const
{
    const open_range &range = m_ranges[index];
    const double level = std::max(m_settings.idleUtilization, meanUtilization(0));
    std::optional<std::size_t> best;
    bool joinable = false;
    const auto consider = [&](const open_range &neighbour) {
        // Neighbours of one owner are joined without a move.
        joinable = joinable || neighbour.owner == range.owner;
        if (!neighbour.owner || !neighbour.movable || !mayReceive(*neighbour.owner)) {
            return;
        }
        const double after = utilization(*neighbour.owner) + rangeDemand(range.keys) / capacity(*neighbour.owner);
        if (after <= level && (!best || utilization(*neighbour.owner) < utilization(*best))) {
            best = neighbour.owner;
        }
    };
    if (position > 0) {
        consider(m_ranges[order[position - 1]]);
    }
    if (position + 1 < order.size()) {
        consider(m_ranges[order[position + 1]]);
    }
    return joinable ? std::nullopt : best;
}

std::vector<planned_move> range_planner::gatherRanges(std::size_t maxMoves)
{
    std::vector<std::size_t> byKey(m_ranges.size());
    std::iota(byKey.begin(), byKey.end(), 0);
    std::sort(byKey.begin(), byKey.end(), [&](std::size_t left, std::size_t right) {
        return m_ranges[left].keys.first < m_ranges[right].keys.first;
    });
    std::vector<std::size_t> positions(byKey.size());
    std::iota(positions.begin(), positions.end(), 0);
    const auto width = [&](std::size_t position) {
        const key_range keys = m_ranges[byKey[position]].keys;
        return keys.last - keys.first;
    };
    std::stable_sort(positions.begin(), positions.end(), [&](std::size_t left, std::size_t right) {
        return width(left) < width(right);
    });
    std::vector<planned_move> moves;
    for (std::size_t i = 0; i < positions.size() && moves.size() < maxMoves; ++i) {
        const std::size_t index = byKey[positions[i]];
        const open_range &range = m_ranges[index];
        if (!range.owner || !range.movable || range.movedRecently) {
            continue;
        }
        if (const std::optional<std::size_t> owner = gatheringOwner(index, byKey, positions[i])) {
            moves.push_back(take(index, range.keys, *owner));
        }
    }
    return moves;
}

} // namespace sycamoretray
