#include "gateway/load_recorder.h"

#include <utility>

namespace sycamoretray
{

void load_recorder::recordDemand(const service_id &service, key_number key, time_span work)
{
    m_services[service].keys[key] += work;
}

void load_recorder::recordAnswer(const service_id &service, const endpoint_id &endpoint, time_span measured, time_span expected)
{
    endpoint_work &work = m_services[service].endpoints[endpoint];
    ++work.requests;
    work.measured += measured;
    work.expected += expected;
}

void load_recorder::recordFailure(const service_id &service, const endpoint_id &endpoint)
{
    ++m_services[service].endpoints[endpoint].failures;
}

void load_recorder::recordRequestLimit(const service_id &service, const endpoint_id &endpoint, const std::optional<request_rate> &limit)
{
    const auto work = m_services[service].endpoints.find(endpoint);
    if (work != m_services[service].endpoints.end()) {
        work->second.requestLimit = limit;
    }
}

std::vector<load_report> load_recorder::takeReports(const instance_id &instance)
{
    std::vector<load_report> reports;
    for (auto &[service, work] : std::exchange(m_services, {})) {
        load_report report{ instance, service, {}, {} };
        for (const auto &[key, demand] : work.keys) {
            report.keys.push_back({ key, demand });
        }
        for (auto &[endpoint, measured] : work.endpoints) {
            measured.endpoint = endpoint;
            report.endpoints.push_back(measured);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace sycamoretray
