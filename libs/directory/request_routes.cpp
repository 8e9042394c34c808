#include "directory/request_routes.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

std::string hostName(std::string_view host)
{
    std::string name(host.substr(0, host.rfind(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : static_cast<char>(c);
    });
    return name;
}

} // namespace

request_routes::request_routes(std::uint64_t version,
                               std::vector<request_route> routes,
                               std::map<service_id, service_definition> services,
                               request_limits limits)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_limits(limits)
{
    for (std::size_t index = 0; index < m_routes.size(); ++index) {
        m_hosts[hostName(m_routes[index].host)].push_back(index);
    }
    for (auto &[host, indexes] : m_hosts) {
        std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
            return m_routes[left].pathPrefix.size() > m_routes[right].pathPrefix.size();
        });
    }
}

std::uint64_t request_routes::version() const noexcept
{
    return m_version;
}

const request_route *request_routes::find(std::string_view host, std::string_view path) const
{
    const auto found = m_hosts.find(hostName(host));
    if (found == m_hosts.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.starts_with(m_routes[index].pathPrefix)) {
            return &m_routes[index];
        }
    }
    return nullptr;
}

const std::vector<request_route> &request_routes::routes() const noexcept
{
    return m_routes;
}

const std::map<service_id, service_definition> &request_routes::services() const noexcept
{
    return m_services;
}

const request_limits &request_routes::limits() const noexcept
{
    return m_limits;
}

const service_definition *request_routes::service(const service_id &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace sycamoretray
