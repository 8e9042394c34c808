#pragma once

#include "key_ownership/key_load.h"

#include <map>
#include <vector>

namespace sycamoretray
{

/**
 * Collects demand and endpoint times between two load reports.
 *
 * Thread safety: none.
 */
class work_recorder
{
public:
    void demanded(const service_id &service, key_number key, time_span work);
    void answered(const service_id &service, const endpoint_id &endpoint, time_span measured, time_span expected);
    void failed(const service_id &service, const endpoint_id &endpoint);

    /** Returns a report for each service with work since the last call. */
    std::vector<load_report> take(const instance_id &instance);

private:
    struct service_work {
        std::map<key_number, time_span> keys;
        std::map<endpoint_id, endpoint_work> endpoints;
    };
    std::map<service_id, service_work> m_services;
};

} // namespace sycamoretray
