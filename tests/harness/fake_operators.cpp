#include "fake_operators.h"

#include "base/result_code.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoretray::harness
{

using nlohmann::json;

namespace
{

constexpr auto teamName = "t";
constexpr auto templateName = "site";

} // namespace

fake_operators::fake_operators(simulated_cluster &cluster)
    : m_cluster(cluster)
{
}

void fake_operators::publishTemplate()
{
    publish(document_kind::template_document, templateName, 0, templateDocument(), {});
}

std::string fake_operators::templateDocument() const
{
    json services = json::array();
    for (const std::string service : { "tracking", "rates" }) {
        json endpoints = json::array();
        for (const server_host &server : m_cluster.servers()) {
            if (serviceOf(server.endpoint.server) == teamName + ("." + service)) {
                endpoints.push_back({ { "name", server.endpoint.server.value().substr(serviceOf(server.endpoint.server).size() + 1) },
                                      { "address", server.endpoint.address.value() },
                                      { "availability_zone", server.endpoint.zone.value() },
                                      { "checks_tokens", server.endpoint.checksTokens } });
            }
        }
        if (!endpoints.empty()) {
            services.push_back({ { "name", service },
                                 { "path_prefix", "/" + service },
                                 { "key", { { "path_segment", 1 } } },
                                 { "endpoints", endpoints },
                                 { "limits", { { "leave_limit_ms", { { "parameter", "leave_ms" } } } } } });
        }
    }
    return json{ { "template", templateName }, { "parameters", { { "leave_ms", { { "type", "number" } } } } }, { "services", services } }.dump();
}

void fake_operators::publish(document_kind kind, const std::string &name, std::uint64_t base, const std::string &document, publication_request request)
{
    std::vector<std::shared_ptr<instance_host>> alive;
    std::copy_if(m_cluster.hosts().begin(), m_cluster.hosts().end(), std::back_inserter(alive), [](const auto &host) {
        return host->alive();
    });
    if (alive.empty()) {
        return;
    }
    const operation_id operation(m_nextOperation++);
    m_publications[operation.value()] = request;
    const std::string operatorName = "operator-" + std::to_string(request.operatorNumber);
    alive[m_cluster.random().below(alive.size())]->deliver(publish_requested{ operation, kind, name, base, document, operatorName });
}

void fake_operators::publishParameters(std::size_t operatorNumber)
{
    const std::uint64_t value = m_nextValue++;
    const std::uint64_t base = m_knownVersion[operatorNumber];
    const json document{ { "team", teamName }, { "template", templateName }, { "values", { { "leave_ms", value } } } };
    m_cluster.checker().publishAttempted(value, base);
    m_cluster.trace("publish " + std::to_string(value) + " on base " + std::to_string(base));
    publish(document_kind::parameter_set, teamName, base, document.dump(), { value, operatorNumber });
}

void fake_operators::requestDrain(std::size_t serverIndex, bool draining)
{
    const auto host = std::find_if(m_cluster.hosts().begin(), m_cluster.hosts().end(), [](const auto &each) {
        return each->alive();
    });
    if (host != m_cluster.hosts().end()) {
        (*host)->deliver(drain_requested{ operation_id(m_nextOperation++), m_cluster.servers()[serverIndex].endpoint.server, draining, "operator-0" });
    }
}

void fake_operators::handleOutcome(const instance_host &host, const publish_outcome &action)
{
    m_cluster.trace(host.settings().incarnation.value() + " answers operator: " + action.error.message() + " version " + std::to_string(action.version));
    const auto found = m_publications.find(action.operation.value());
    if (found == m_publications.end() || found->second.value == 0) {
        return;
    }
    const auto [value, operatorNumber] = found->second;
    if (action.version != 0) {
        m_knownVersion[operatorNumber] = std::max(m_knownVersion[operatorNumber], action.version);
    }
    operator_answer answer = operator_answer::refused;
    if (!action.error) {
        answer = operator_answer::published;
        if (action.version > m_acknowledgedVersion) {
            m_acknowledgedVersion = action.version;
            m_acknowledgedValue = value;
        }
    } else if (action.error == make_error_code(result_code::publish_unsettled) || action.error == make_error_code(result_code::append_unknown)) {
        answer = operator_answer::none;
    }
    m_cluster.checker().publishAnswered(value, answer, action.version, m_cluster.scheduler().now());
}

std::uint64_t fake_operators::acknowledgedValue() const
{
    return m_acknowledgedValue;
}

} // namespace sycamoretray::harness
