#pragma once

#include "key_ownership/key_load.h"

#include <map>
#include <optional>
#include <vector>

namespace sycamoretray
{

/**
 * Collects the demand for keys and the run times of endpoints between two load reports.
 *
 * Thread safety: none.
 */
class load_recorder
{
public:
    /** Adds a request for @p key with the expected run time @p work. */
    void recordDemand(const service_id &service, key_number key, time_span work);
    void recordAnswer(const service_id &service, const endpoint_id &endpoint, time_span measured, time_span expected);
    void recordFailure(const service_id &service, const endpoint_id &endpoint);
    /** Sets the request limit of an endpoint, if the report has any of its requests. */
    void recordRequestLimit(const service_id &service, const endpoint_id &endpoint, const std::optional<request_rate> &limit);

    /** Returns a report for each service with requests since the last call. */
    std::vector<load_report> takeReports(const instance_id &instance);

private:
    struct service_work {
        std::map<key_number, time_span> keys;
        std::map<endpoint_id, endpoint_work> endpoints;
    };
    std::map<service_id, service_work> m_services;
};

} // namespace sycamoretray
