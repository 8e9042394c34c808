#include "arrival_script.h"

#include <algorithm>

namespace sycamoretray
{

arrival_script::arrival_script(std::uint64_t seed)
    : m_random(seed)
{
}

void arrival_script::add(const arrival_stream &stream)
{
    std::exponential_distribution<double> gap(stream.perSecond / 1e6);
    std::uniform_real_distribution<double> factor(1 - stream.spread, 1 + stream.spread);
    double at = static_cast<double>(stream.from.time_since_epoch().count());
    const double end = static_cast<double>(stream.to.time_since_epoch().count());
    while ((at += gap(m_random)) < end) {
        scripted_request request;
        request.arrival = monotonic_time(time_span(static_cast<time_span::rep>(at)));
        request.runTime = time_span(static_cast<time_span::rep>(static_cast<double>(stream.meanRunTime.count()) * factor(m_random)));
        request.relativeDeadline = stream.relativeDeadline;
        request.customer = stream.customer;
        request.requestClass = stream.requestClass;
        m_requests.push_back(request);
    }
}

void arrival_script::add(const scripted_request &request)
{
    m_requests.push_back(request);
}

std::vector<scripted_request> arrival_script::build()
{
    std::stable_sort(m_requests.begin(), m_requests.end(), [](const scripted_request &a, const scripted_request &b) {
        return a.arrival < b.arrival;
    });
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        if (m_requests[i].fingerprint == 0) {
            m_requests[i].fingerprint = 1'000'000 + i;
        }
    }
    return m_requests;
}

} // namespace sycamoretray
