#include "dispatch/hot_key_detector.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace sycamoretray
{

namespace
{

constexpr double halfLifeSeconds = 5;
/** Counters are decayed in steps of this size; finer steps cost time and change a rate by less than 1.5 %. */
constexpr time_span decayStep = std::chrono::milliseconds(100);

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
    if (!m_running) {
        m_running = true;
        m_started = m_decayed = now;
    }
    if (now - m_decayed < decayStep) {
        return;
    }
    const double factor = std::exp2(-seconds(now - m_decayed) / halfLifeSeconds);
    m_decayed = now;
    m_total *= factor;
    for (std::size_t i = 0; i < m_used; ++i) {
        m_counts[i] *= factor;
        m_counters[i].overcount *= factor;
    }
}

std::size_t hot_key_detector::obtain(std::string_view key, std::uint64_t hash)
{
    const auto found = m_index.find(hash);
    if (found != m_index.end()) {
        return found->second;
    }
    std::size_t position = m_used;
    if (m_used < counterCount) {
        ++m_used;
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
    m_counts[obtain(key, XXH3_64bits(key.data(), key.size()))] += 1;
}

std::vector<hot_key_report> hot_key_detector::report(double share, monotonic_time now)
{
    decay(now);
    // A decayed count of a steady rate r tends to r * halfLife / ln 2 and has reached a part of it since the start.
    const double settled = 1 - std::exp2(-seconds(now - m_started) / halfLifeSeconds);
    const double window = halfLifeSeconds / std::log(2.0) * std::max(settled, 1e-9);
    std::vector<hot_key_report> result;
    for (std::size_t i = 0; i < m_used; ++i) {
        const double sure = m_counts[i] - m_counters[i].overcount;
        if (sure > 0 && sure >= share * m_total) {
            result.push_back({ m_server, m_counters[i].key, sure / window, m_total / window });
        }
    }
    std::sort(result.begin(), result.end(), [](const hot_key_report &a, const hot_key_report &b) {
        return a.requestsPerSecond > b.requestsPerSecond;
    });
    if (result.size() > hottestKeys) {
        result.resize(hottestKeys);
    }
    return result;
}

} // namespace sycamoretray
