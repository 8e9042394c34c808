#include "dispatch/hot_key_detector.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace sycamoretray
{

namespace
{

constexpr double halfLifeSeconds = 5;
/** Interval of the decay of the counters; a shorter one costs CPU time and changes a rate by less than 1.5 %. */
constexpr time_span decayInterval = std::chrono::milliseconds(100);

double seconds(time_span span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

hot_key_detector::hot_key_detector(server_id server)
    : m_server(std::move(server))
{
}

void hot_key_detector::decay(monotonic_time now)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_started = m_lastDecay = now;
    }
    if (now - m_lastDecay < decayInterval) {
        return;
    }
    const double factor = std::exp2(-seconds(now - m_lastDecay) / halfLifeSeconds);
    m_lastDecay = now;
    m_total *= factor;
    for (std::size_t i = 0; i < m_usedCounters; ++i) {
        m_counts[i] *= factor;
        m_counters[i].overcount *= factor;
    }
}

std::size_t hot_key_detector::findOrReplace(std::string_view key, std::uint64_t hash)
{
    const auto found = m_index.find(hash);
    if (found != m_index.end()) {
        return found->second;
    }
    std::size_t position = m_usedCounters;
    if (m_usedCounters < counterCount) {
        ++m_usedCounters;
    } else {
        position = static_cast<std::size_t>(std::min_element(m_counts.begin(), m_counts.end()) - m_counts.begin());
        m_index.erase(m_counters[position].hash);
    }
    counter &each = m_counters[position];
    each.hash = hash;
    each.key.assign(key);
    each.overcount = m_counts[position];
    m_index.emplace(hash, position);
    return position;
}

void hot_key_detector::count(std::string_view key, monotonic_time now)
{
    decay(now);
    m_total += 1;
    m_counts[findOrReplace(key, XXH3_64bits(key.data(), key.size()))] += 1;
}

std::vector<hot_key_report> hot_key_detector::report(double share, monotonic_time now)
{
    decay(now);
    // The decayed count of a constant rate r converges to r * halfLife / ln 2; this is the fraction reached since the start.
    const double steadyFraction = 1 - std::exp2(-seconds(now - m_started) / halfLifeSeconds);
    const double window = halfLifeSeconds / std::log(2.0) * std::max(steadyFraction, 1e-9);
    std::vector<hot_key_report> result;
    for (std::size_t i = 0; i < m_usedCounters; ++i) {
        const double lowerBound = m_counts[i] - m_counters[i].overcount;
        if (lowerBound > 0 && lowerBound >= share * m_total) {
            result.push_back({ m_server, m_counters[i].key, lowerBound / window, m_total / window });
        }
    }
    std::sort(result.begin(), result.end(), [](const hot_key_report &a, const hot_key_report &b) {
        return a.requestsPerSecond > b.requestsPerSecond;
    });
    if (result.size() > maxReports) {
        result.resize(maxReports);
    }
    return result;
}

} // namespace sycamoretray
