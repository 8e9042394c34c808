#include "directory/cold_endpoints.h"

namespace sycamoretray
{

std::vector<cold_endpoint_change> cold_endpoints::update(const std::map<endpoint_id, listed_endpoint> &endpoints, monotonic_time now)
{
    std::vector<cold_endpoint_change> changes;
    std::set<endpoint_id> cold;
    for (const auto &[id, endpoint] : endpoints) {
        if (now < endpoint.coldUntil) {
            cold.insert(id);
            if (!m_cold.contains(id)) {
                changes.push_back({ id, endpoint.coldUntil - now });
            }
        } else if (m_cold.contains(id)) {
            changes.push_back({ id, {} });
        }
    }
    m_cold = std::move(cold);
    return changes;
}

std::size_t cold_endpoints::count() const noexcept
{
    return m_cold.size();
}

} // namespace sycamoretray
