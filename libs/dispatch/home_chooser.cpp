#include "dispatch/home_chooser.h"

#include <algorithm>
#include <cmath>

namespace sycamoretray
{

namespace
{

/** Weight of a new report in the exponential moving average: one wrong report changes it by a fifth of its bounded error. */
constexpr double reportSmoothingWeight = 0.2;
/** Choices per candidate after which the counts are halved. */
constexpr std::uint32_t choicesPerDecay = 256;
/** Loads per worker slot that differ by less count as equal: old reports may be off by one slot's worth of load. */
constexpr double loadTolerance = 0.34;
/**
 * Load per worker slot added for a candidate chosen more often than the median, multiplied by the relative excess. Without
 * it, a home whose reports are always too low gets 1.22 times the mean number of requests. The reference is the median
 * because a slow server, which is chosen less often, lowers the mean.
 */
constexpr double excessPenalty = 5;
/** Lower bound of the reference, in choices per worker slot; an excess over fewer choices is noise. */
constexpr double minReferenceChoices = 10;

double medianOf(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

home_chooser::home_chooser(std::uint64_t seed)
    : m_random(seed)
{
}

void home_chooser::setCandidates(const std::vector<home_candidate> &candidates)
{
    std::vector<home> homes;
    std::unordered_map<server_id, std::size_t> index;
    std::array<double, 2> fewest{ medianChoices(false), medianChoices(true) };
    for (const std::size_t position : m_available) {
        for (const bool isLong : { false, true }) {
            fewest[isLong] = std::min(fewest[isLong], m_homes[position].loadByLength[isLong].recentChoices);
        }
    }
    m_available.clear();
    for (const home_candidate &candidate : candidates) {
        const auto known = m_index.find(candidate.server);
        home next = known == m_index.end() ? home{} : m_homes[known->second];
        if (known == m_index.end() || !next.candidate.available) {
            // Otherwise a new or returning home would win every tie until its count has caught up.
            for (const bool isLong : { false, true }) {
                next.loadByLength[isLong].recentChoices = std::max(next.loadByLength[isLong].recentChoices, fewest[isLong]);
            }
        }
        next.candidate = candidate;
        if (candidate.available) {
            m_available.push_back(homes.size());
        }
        index.emplace(candidate.server, homes.size());
        homes.push_back(std::move(next));
    }
    m_homes = std::move(homes);
    m_index = std::move(index);
    m_medianChoices = { medianChoices(false), medianChoices(true) };
}

double home_chooser::load(const home &each, bool isLong) const
{
    const length_load &own = each.loadByLength[isLong];
    const double forLong = std::max(1.0, each.slots() - 1);
    const double slots = isLong ? forLong : std::max(1.0, each.slots() - std::min(forLong, each.loadByLength[1].requests()));
    const double excess = own.recentChoices / std::max(minReferenceChoices, m_medianChoices[isLong]) - 1;
    return (own.requests() + 1) / slots + excessPenalty * std::max(0.0, excess);
}

bool home_chooser::isBetter(const home &a, const home &b, bool isLong) const
{
    const double difference = load(a, isLong) - load(b, isLong);
    if (std::abs(difference) >= loadTolerance) {
        return difference < 0;
    }
    return a.loadByLength[isLong].recentChoices < b.loadByLength[isLong].recentChoices;
}

home_chooser::home &home_chooser::chooseOfTwo(bool isLong)
{
    const std::size_t count = m_available.size();
    const std::size_t first = std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    home &a = m_homes[m_available[first]];
    if (count == 1) {
        return a;
    }
    const std::size_t other = std::uniform_int_distribution<std::size_t>(0, count - 2)(m_random);
    home &b = m_homes[m_available[other < first ? other : other + 1]];
    return isBetter(a, b, isLong) ? a : b;
}

std::optional<server_id> home_chooser::choose(bool isLong)
{
    if (m_available.empty()) {
        return std::nullopt;
    }
    home &chosen = chooseOfTwo(isLong);
    ++chosen.loadByLength[isLong].inFlight;
    chosen.loadByLength[isLong].recentChoices += 1 / chosen.slots();
    countChoice();
    return chosen.candidate.server;
}

void home_chooser::countChoice()
{
    ++m_choices;
    if (m_choices >= choicesPerDecay * m_homes.size()) {
        m_choices = 0;
        for (home &each : m_homes) {
            for (length_load &part : each.loadByLength) {
                part.recentChoices /= 2;
            }
        }
    }
    if (m_choices % m_available.size() == 0) {
        m_medianChoices = { medianChoices(false), medianChoices(true) };
    }
}

void home_chooser::finished(const server_id &server, bool isLong)
{
    const auto found = m_index.find(server);
    if (found != m_index.end() && m_homes[found->second].loadByLength[isLong].inFlight > 0) {
        --m_homes[found->second].loadByLength[isLong].inFlight;
    }
}

double home_chooser::medianReport(bool isLong) const
{
    std::vector<double> values;
    for (const std::size_t position : m_available) {
        values.push_back(m_homes[position].loadByLength[isLong].lastReport / m_homes[position].slots());
    }
    return medianOf(std::move(values));
}

double home_chooser::medianChoices(bool isLong) const
{
    std::vector<double> values;
    for (const std::size_t position : m_available) {
        values.push_back(m_homes[position].loadByLength[isLong].recentChoices);
    }
    return medianOf(std::move(values));
}

void home_chooser::applyLoadReport(const server_id &server, const home_load &load)
{
    const auto found = m_index.find(server);
    if (found != m_index.end()) {
        applyReport(m_homes[found->second], false, load.shortRequests);
        applyReport(m_homes[found->second], true, load.longRequests);
    }
}

void home_chooser::applyLoadReport(const server_id &server, std::uint32_t queued, std::uint32_t running)
{
    applyLoadReport(server, home_load{ queued + running, 0 });
}

void home_chooser::applyReport(home &each, bool isLong, std::uint32_t requests)
{
    length_load &part = each.loadByLength[isLong];
    part.lastReport = requests;
    const double median = medianReport(isLong) * each.slots();
    // The bounds keep the effect of one wrong report below loadTolerance; a lasting difference still accumulates beyond it.
    const double boundedReport = std::clamp(part.lastReport, median / 2, median * 1.5 + each.slots() / 2);
    const double otherInstancesRequests = std::max(0.0, boundedReport - part.inFlight);
    part.requestsOfOtherInstances += reportSmoothingWeight * (otherInstancesRequests - part.requestsOfOtherInstances);
}

} // namespace sycamoretray
