#include "endpoint_speed/momentary_speed.h"

#include <algorithm>
#include <iterator>

namespace sycamoretray
{

namespace
{

// Duration of a slow interval of the endpoints observed so far; an older report says nothing about the present.
constexpr time_span reportLifetime = std::chrono::milliseconds(400);
// Run times of longer requests are normalised by the reports of their last part.
constexpr time_span historyLength = std::chrono::seconds(2);
constexpr std::size_t maxReports = 64;
constexpr double minSlowness = 0.1;
constexpr double maxSlowness = 10;

} // namespace

void momentary_speed::record(std::uint32_t runTimePercent, monotonic_time now)
{
    while (!m_reports.empty() && (m_reports.size() >= maxReports || m_reports.front().at < now - historyLength)) {
        m_reports.pop_front();
    }
    m_reports.push_back({ now, std::clamp(runTimePercent / 100.0, minSlowness, maxSlowness) });
}

double momentary_speed::slowness(monotonic_time now) const noexcept
{
    if (m_reports.empty()) {
        return 1;
    }
    const double age = static_cast<double>((now - m_reports.back().at).count()) / static_cast<double>(reportLifetime.count());
    return 1 + (m_reports.back().slowness - 1) * std::clamp(1 - age, 0.0, 1.0);
}

double momentary_speed::slownessDuring(monotonic_time from, monotonic_time to) const noexcept
{
    if (from >= to) {
        return slowness(to);
    }
    // Work that was done in the time, as a share of what an endpoint of usual speed does.
    double done = static_cast<double>((to - from).count());
    const double duration = done;
    for (auto each = m_reports.begin(); each != m_reports.end(); ++each) {
        const auto next = std::next(each);
        monotonic_time end = std::min(to, each->at + reportLifetime);
        if (next != m_reports.end()) {
            end = std::min(end, next->at);
        }
        const monotonic_time begin = std::max(from, each->at);
        if (begin < end) {
            done += static_cast<double>((end - begin).count()) * (1 / each->slowness - 1);
        }
    }
    return duration / done;
}

} // namespace sycamoretray
