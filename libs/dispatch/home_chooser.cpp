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

} // namespace

home_chooser::home_chooser(std::uint64_t seed)
    : m_random(seed)
{
}

void home_chooser::setCandidates(const std::vector<home_candidate> &candidates)
{
    std::vector<home> homes;
    std::unordered_map<server_id, std::size_t> index;
    double leastChoices = 0;
    if (!m_homes.empty()) {
        leastChoices = std::min_element(m_homes.begin(), m_homes.end(), [](const home &a, const home &b) {
                           return a.recentChoices < b.recentChoices;
                       })->recentChoices;
    }
    m_available.clear();
    for (const home_candidate &candidate : candidates) {
        const auto known = m_index.find(candidate.server);
        home next;
        if (known != m_index.end()) {
            next = m_homes[known->second];
        } else {
            // A new home must not take every tie until it has caught up.
            next.recentChoices = leastChoices;
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
    m_medianChoices = medianOf([](const home &each) {
        return each.recentChoices;
    });
}

double home_chooser::load(const home &each) const
{
    const double perSlot = (each.inFlight + each.reportedByOthers) / std::max(1U, each.candidate.workerSlots);
    return perSlot + excessPenalty * std::max(0.0, each.recentChoices / std::max(fewChoices, m_medianChoices) - 1);
}

bool home_chooser::isBetter(const home &a, const home &b) const
{
    const double difference = load(a) - load(b);
    if (std::abs(difference) >= equalLoad) {
        return difference < 0;
    }
    return a.recentChoices < b.recentChoices;
}

std::optional<server_id> home_chooser::choose()
{
    if (m_available.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw(0, m_available.size() - 1);
    const std::size_t first = draw(m_random);
    std::size_t second = m_available.size() > 1 ? std::uniform_int_distribution<std::size_t>(0, m_available.size() - 2)(m_random) : first;
    if (m_available.size() > 1 && second >= first) {
        ++second;
    }
    home &a = m_homes[m_available[first]];
    home &b = m_homes[m_available[second]];
    home &chosen = isBetter(a, b) ? a : b;
    ++chosen.inFlight;
    chosen.recentChoices += 1.0 / std::max(1U, chosen.candidate.workerSlots);
    countChoice();
    return chosen.candidate.server;
}

void home_chooser::countChoice()
{
    ++m_choices;
    if (m_choices >= choicesPerDecay * m_homes.size()) {
        m_choices = 0;
        for (home &each : m_homes) {
            each.recentChoices /= 2;
        }
    }
    if (m_choices % m_available.size() == 0) {
        m_medianChoices = medianOf([](const home &each) {
            return each.recentChoices;
        });
    }
}

void home_chooser::finished(const server_id &server)
{
    const auto found = m_index.find(server);
    if (found != m_index.end() && m_homes[found->second].inFlight > 0) {
        --m_homes[found->second].inFlight;
    }
}

double home_chooser::medianOf(double (*value)(const home &)) const
{
    std::vector<double> values;
    values.reserve(m_available.size());
    for (const std::size_t position : m_available) {
        values.push_back(value(m_homes[position]));
    }
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void home_chooser::reported(const server_id &server, std::uint32_t queued, std::uint32_t running)
{
    const auto found = m_index.find(server);
    if (found == m_index.end()) {
        return;
    }
    home &each = m_homes[found->second];
    each.lastReport = static_cast<double>(queued) + running;
    const double slots = std::max(1U, each.candidate.workerSlots);
    const double median = slots * medianOf([](const home &other) {
                              return other.lastReport / std::max(1U, other.candidate.workerSlots);
                          });
    // The bounds keep the effect of one false report below equalLoad; a lasting difference still adds up to more.
    const double believed = std::clamp(each.lastReport, median / 2, median * 1.5 + slots / 2);
    const double others = std::max(0.0, believed - each.inFlight);
    each.reportedByOthers += reportWeight * (others - each.reportedByOthers);
}

} // namespace sycamoretray
