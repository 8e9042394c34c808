#include "gateway/usual_times.h"

#include <algorithm>

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
    return found == m_times.end() ? route.latencyTarget / targetParts : found->second.time;
}

void usual_times::answered(const std::string &route, time_span taken)
{
    average &known = m_times[route];
    known.answers = std::min(known.answers + 1, averagedAnswers);
    known.time += (taken - known.time) / known.answers;
}

} // namespace sycamoretray
