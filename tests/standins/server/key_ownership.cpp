#include "standins/server/key_ownership.h"

#include <algorithm>

namespace sycamoretray::standins
{

key_ownership::key_ownership(const nlohmann::json &content)
    : m_version(content.at("version").get<std::uint64_t>())
    , m_ranges(content.at("slots").get<std::vector<std::pair<std::uint32_t, std::uint32_t>>>())
    , m_extraKeys(content.value("extra_keys", std::set<std::string>()))
    , m_exceptKeys(content.value("except_keys", std::set<std::string>()))
{
    std::sort(m_ranges.begin(), m_ranges.end());
}

bool key_ownership::owns(std::uint16_t slot, const std::string &key) const
{
    if (m_extraKeys.contains(key)) {
        return true;
    }
    if (m_exceptKeys.contains(key)) {
        return false;
    }
    const auto after = std::upper_bound(m_ranges.begin(), m_ranges.end(), std::pair<std::uint32_t, std::uint32_t>(slot, UINT32_MAX));
    return after != m_ranges.begin() && slot <= std::prev(after)->second;
}

std::uint64_t key_ownership::version() const
{
    return m_version;
}

nlohmann::json key_ownership::toJson() const
{
    return { { "version", m_version }, { "slots", m_ranges }, { "extra_keys", m_extraKeys }, { "except_keys", m_exceptKeys } };
}

} // namespace sycamoretray::standins
