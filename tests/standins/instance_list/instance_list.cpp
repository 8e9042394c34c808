#include "standins/instance_list/instance_list.h"

#include "standins/common/standin_program.h"

#include <utility>

namespace sycamoretray::standins
{

using nlohmann::json;

instance_list::instance_list(long long lagMs)
    : m_lagMs(lagMs)
{
}

void instance_list::handle(const http_request &request, const respond_function &respond)
{
    if (request.path() == "/control") {
        control(request, respond);
    } else if (m_outage) {
        respond(jsonResponse(503, { { "error", "outage" } }));
    } else if (request.path() == "/instances") {
        applyDueChanges();
        json instances = json::array();
        for (const auto &[id, instance] : m_instances) {
            instances.push_back(instance);
        }
        respond(jsonResponse(200, { { "instances", std::move(instances) } }));
    } else if (request.path().starts_with("/instances/")) {
        update(request, respond);
    } else {
        respond(jsonResponse(404, { { "error", "no such path" } }));
    }
}

void instance_list::control(const http_request &request, const respond_function &respond)
{
    const json content = json::parse(request.body, nullptr, false);
    if (content.is_object()) {
        m_lagMs = content.value("lag_ms", m_lagMs);
        m_outage = content.value("outage", m_outage);
    }
    respond(jsonResponse(200, { { "lag_ms", m_lagMs }, { "outage", m_outage } }));
}

void instance_list::update(const http_request &request, const respond_function &respond)
{
    const std::string id(request.path().substr(std::string_view("/instances/").size()));
    json instance;
    if (request.method == "PUT") {
        instance = json::parse(request.body, nullptr, false);
        if (!instance.is_object() || instance.value("id", "") != id) {
            respond(jsonResponse(400, { { "error", "an object with the id of the path expected" } }));
            return;
        }
    } else if (request.method != "DELETE") {
        respond(jsonResponse(405, { { "error", "PUT or DELETE expected" } }));
        return;
    }
    m_changes.push_back({ steadyMicroseconds() + m_lagMs * 1000, id, std::move(instance) });
    respond(jsonResponse(200, json::object()));
}

void instance_list::applyDueChanges()
{
    const long long now = steadyMicroseconds();
    while (!m_changes.empty() && m_changes.front().visibleAt <= now) {
        change next = std::move(m_changes.front());
        m_changes.pop_front();
        if (next.instance.is_null()) {
            m_instances.erase(next.id);
        } else {
            m_instances[next.id] = std::move(next.instance);
        }
    }
}

} // namespace sycamoretray::standins
