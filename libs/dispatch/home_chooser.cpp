#include "dispatch/home_chooser.h"

#include <algorithm>
#include <cmath>

namespace sycamoretray
{

namespace
{

/** Share of a new report in the smoothed value: one misleading report changes it by a fifth of its bounded error. */
constexpr double reportWeight = 0.2;
/** Choices per candidate after which the counts are halved. */
constexpr std::uint32_t choicesPerDecay = 256;
/** Loads per worker slot that differ by less are equal; a slot's worth of reported load is within the noise of old reports. */
constexpr double equalLoad = 0.34;
/**
 * Load per worker slot added for a candidate that was chosen more often than the median, times the excess share. It bounds
 * what a home gains by reports that are always too low: 1.22 times the mean without it. The median, not the mean, is the
 * reference because the others are rightly chosen more often than a slow server.
 */
constexpr double excessPenalty = 5;
/** Choices per worker slot below which an excess is within the noise. */
constexpr double fewChoices = 10;

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
            fewest[isLong] = std::min(fewest[isLong], m_homes[position].shares[isLong].recentChoices);
        }
    }
    m_available.clear();
    for (const home_candidate &candidate : candidates) {
        const auto known = m_index.find(candidate.server);
        home next = known == m_index.end() ? home{} : m_homes[known->second];
        if (known == m_index.end() || !next.candidate.available) {
            // A home that is new or back must not take every tie until it has caught up.
            for (const bool isLong : { false, true }) {
                next.shares[isLong].recentChoices = std::max(next.shares[isLong].recentChoices, fewest[isLong]);
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
    const share &own = each.shares[isLong];
    const double forLong = std::max(1.0, each.slots() - 1);
    const double slots = isLong ? forLong : std::max(1.0, each.slots() - std::min(forLong, each.shares[1].requests()));
    const double excess = own.recentChoices / std::max(fewChoices, m_medianChoices[isLong]) - 1;
    return (own.requests() + 1) / slots + excessPenalty * std::max(0.0, excess);
}

bool home_chooser::isBetter(const home &a, const home &b, bool isLong) const
{
    const double difference = load(a, isLong) - load(b, isLong);
    if (std::abs(difference) >= equalLoad) {
        return difference < 0;
    }
    return a.shares[isLong].recentChoices < b.shares[isLong].recentChoices;
}

home_chooser::home &home_chooser::drawBetter(bool isLong)
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
    home &chosen = drawBetter(isLong);
    ++chosen.shares[isLong].inFlight;
    chosen.shares[isLong].recentChoices += 1 / chosen.slots();
    countChoice();
    return chosen.candidate.server;
}

void home_chooser::countChoice()
{
    ++m_choices;
    if (m_choices >= choicesPerDecay * m_homes.size()) {
        m_choices = 0;
        for (home &each : m_homes) {
            for (share &part : each.shares) {
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
    if (found != m_index.end() && m_homes[found->second].shares[isLong].inFlight > 0) {
        --m_homes[found->second].shares[isLong].inFlight;
    }
}

double home_chooser::medianReport(bool isLong) const
{
    std::vector<double> values;
    for (const std::size_t position : m_available) {
        values.push_back(m_homes[position].shares[isLong].lastReport / m_homes[position].slots());
    }
    return medianOf(std::move(values));
}

double home_chooser::medianChoices(bool isLong) const
{
    std::vector<double> values;
    for (const std::size_t position : m_available) {
        values.push_back(m_homes[position].shares[isLong].recentChoices);
    }
    return medianOf(std::move(values));
}

void home_chooser::reported(const server_id &server, const home_load &load)
{
    const auto found = m_index.find(server);
    if (found != m_index.end()) {
        believe(m_homes[found->second], false, load.shortRequests);
        believe(m_homes[found->second], true, load.longRequests);
    }
}

void home_chooser::reported(const server_id &server, std::uint32_t queued, std::uint32_t running)
{
    reported(server, home_load{ queued + running, 0 });
}

void home_chooser::believe(home &each, bool isLong, std::uint32_t requests)
{
    share &part = each.shares[isLong];
    part.lastReport = requests;
    const double median = medianReport(isLong) * each.slots();
    // The bounds keep the effect of one false report below equalLoad; a lasting difference still adds up to more.
    const double believed = std::clamp(part.lastReport, median / 2, median * 1.5 + each.slots() / 2);
    const double others = std::max(0.0, believed - part.inFlight);
    part.reportedByOthers += reportWeight * (others - part.reportedByOthers);
}

} // namespace sycamoretray
