#include "gateway/crash_tracker.h"

#include "documents/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace sycamoretray
{

namespace
{

// Reports of a crash that follow each other at the shorter interval.
constexpr std::uint32_t firstReports = 3;

} // namespace

crash_tracker::crash_tracker(crash_tracker_settings settings)
    : m_settings(settings)
{
}

bool crash_tracker::empty() const noexcept
{
    return m_suspects.empty();
}

std::size_t crash_tracker::size() const noexcept
{
    return m_suspects.size();
}

void crash_tracker::removeExpired(monotonic_time now)
{
    std::erase_if(m_suspects, [&](const auto &item) {
        return now - item.second.lastCrash >= m_settings.memory;
    });
}

const crash_tracker::suspect *crash_tracker::find(request_fingerprint fingerprint, monotonic_time now) const
{
    const auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() || now - found->second.lastCrash >= m_settings.memory ? nullptr : &found->second;
}

crash_tracker::suspect &crash_tracker::findOrInsert(request_fingerprint fingerprint, monotonic_time now)
{
    const auto known = m_suspects.find(fingerprint);
    if (known != m_suspects.end()) {
        return known->second;
    }
    if (m_suspects.size() >= m_settings.maxRequests) {
        removeExpired(now);
    }
    if (m_suspects.size() >= m_settings.maxRequests) {
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
            return left.second.lastCrash < right.second.lastCrash;
        }));
    }
    return m_suspects[fingerprint];
}

std::uint32_t crash_tracker::connectionLost(request_fingerprint fingerprint, const endpoint_incarnation &endpoint, monotonic_time now)
{
    suspect &entry = findOrInsert(fingerprint, now);
    if (entry.crashes > 0 && now - entry.lastCrash >= m_settings.memory) {
        entry = {};
    }
    if (entry.endpoints.insert_or_assign(endpoint, now).second) {
        ++entry.crashes;
    }
    entry.lastCrash = now;
    entry.ownCrash = now;
    entry.nextReport = now + m_settings.confirmationTime;
    entry.reports = 0;
    return entry.crashes;
}

void crash_tracker::responded(const endpoint_incarnation &endpoint, monotonic_time sentAt)
{
    for (auto item = m_suspects.begin(); item != m_suspects.end();) {
        suspect &entry = item->second;
        const auto crash = entry.endpoints.find(endpoint);
        if (crash != entry.endpoints.end() && crash->second < sentAt) {
            entry.endpoints.erase(crash);
            --entry.crashes;
            entry.ownCrash = entry.endpoints.empty() ? std::nullopt : entry.ownCrash;
        }
        item = entry.crashes == 0 ? m_suspects.erase(item) : std::next(item);
    }
}

void crash_tracker::answered(request_fingerprint fingerprint)
{
    m_suspects.erase(fingerprint);
}

void crash_tracker::merge(const crash_report &report, monotonic_time now)
{
    if (report.crashes == 0 || report.age >= m_settings.memory) {
        return;
    }
    suspect &entry = findOrInsert(report.fingerprint, now);
    entry.crashes = std::max(entry.crashes, report.crashes);
    entry.lastCrash = std::max(entry.lastCrash, now - report.age);
}

bool crash_tracker::mayRetry(request_fingerprint fingerprint, monotonic_time now) const
{
    const suspect *known = find(fingerprint, now);
    return known == nullptr || known->crashes < m_settings.retryLimit;
}

std::optional<time_span> crash_tracker::refusedFor(request_fingerprint fingerprint, monotonic_time now) const
{
    const suspect *known = find(fingerprint, now);
    if (known == nullptr || known->crashes < m_settings.refusalLimit) {
        return std::nullopt;
    }
    time_span refusal = m_settings.firstRefusal;
    for (std::uint32_t crashes = m_settings.refusalLimit; crashes < known->crashes && refusal < m_settings.longestRefusal; ++crashes) {
        refusal *= 2;
    }
    const time_span left = known->lastCrash + std::min(refusal, m_settings.longestRefusal) - now;
    return left > time_span::zero() ? std::optional(left) : std::nullopt;
}

std::vector<crash_report> crash_tracker::takeDueReports(monotonic_time now)
{
    removeExpired(now);
    std::vector<crash_report> reports;
    for (auto &[fingerprint, entry] : m_suspects) {
        if (!entry.ownCrash || entry.crashes < m_settings.retryLimit || now < entry.nextReport) {
            continue;
        }
        reports.push_back({ fingerprint, entry.crashes, now - entry.lastCrash });
        entry.nextReport = now + (++entry.reports < firstReports ? m_settings.reportInterval : m_settings.repeatInterval);
    }
    return reports;
}

std::string encodeCrashReports(const std::vector<crash_report> &reports)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const crash_report &each : reports) {
        const auto ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(each.age).count();
        rows.push_back(nlohmann::json::array({ each.fingerprint.value(), each.crashes, ageMs }));
    }
    return encodeCbor(rows);
}

std::optional<std::vector<crash_report>> decodeCrashReports(std::string_view data)
{
    constexpr std::uint64_t maxAgeMs = std::chrono::milliseconds(std::chrono::hours(1)).count();
    try {
        const nlohmann::json rows = decodeCbor(data);
        if (!rows.is_array()) {
            return std::nullopt;
        }
        std::vector<crash_report> reports;
        for (const nlohmann::json &row : rows) {
            const auto ageMs = std::min(row.at(2).get<std::uint64_t>(), maxAgeMs);
            reports.push_back({ request_fingerprint(row.at(0).get<std::uint64_t>()), row.at(1).get<std::uint32_t>(), std::chrono::milliseconds(ageMs) });
        }
        return reports;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace sycamoretray
