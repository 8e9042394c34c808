#pragma once

#include "standins/common/http_server.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <string>

namespace sycamoretray::standins
{

/**
 * The platform's instance list as specified in docs/protocols.md. A change becomes visible to readers after a lag.
 * POST /control with {"lag_ms": n, "outage": bool} sets the lag, and whether all other requests fail with status 503.
 *
 * Thread safety: none.
 */
class instance_list
{
public:
    explicit instance_list(long long lagMs);

    void handle(const http_request &request, const respond_function &respond);

private:
    struct change {
        long long visibleAt = 0; ///< steady microseconds
        std::string id;
        nlohmann::json instance; ///< null: the instance is removed
    };

    void control(const http_request &request, const respond_function &respond);
    void update(const http_request &request, const respond_function &respond);
    void applyDueChanges();

    long long m_lagMs;
    bool m_outage = false;
    std::deque<change> m_changes;
    std::map<std::string, nlohmann::json> m_instances;
};

} // namespace sycamoretray::standins
