#include "gateway/typical_run_times.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// Latency targets include time for waiting: requests of the sites' classes run for about a third of their target.
constexpr int runTimesPerTarget = 3;
constexpr int averageWindowAnswers = 32;

} // namespace

time_span typical_run_times::of(const request_route &route) const
{
    const auto found = m_times.find(route.name);
    return found == m_times.end() ? route.latencyTarget / runTimesPerTarget : found->second.time;
}

void typical_run_times::record(const std::string &route, time_span taken)
{
    average &known = m_times[route];
    known.answers = std::min(known.answers + 1, averageWindowAnswers);
    known.time += (taken - known.time) / known.answers;
}

} // namespace sycamoretray
