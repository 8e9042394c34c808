#include "gateway/usual_times.h"

namespace sycamoretray
{

namespace
{

// Latency targets leave room for waiting: of the sites' classes, work takes about a third of them.
constexpr int targetParts = 3;
constexpr int averagedAnswers = 32;

} // namespace

time_span usual_times::of(const request_route &route) const
{
    const auto found = m_times.find(route.name);
    return found == m_times.end() ? route.latencyTarget / targetParts : found->second;
}

void usual_times::answered(const std::string &route, time_span taken)
{
    const auto [position, inserted] = m_times.try_emplace(route, taken);
    if (!inserted) {
        position->second += (taken - position->second) / averagedAnswers;
    }
}

} // namespace sycamoretray
