#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamoretray::standins
{

/** The hash slots and keys that a server owns under its lease. Thread safety: as for const objects. */
class key_ownership
{
public:
    key_ownership() = default;

    /** @param content  the "ownership" object of the lease request. @throws nlohmann::json::exception if it is malformed */
    explicit key_ownership(const nlohmann::json &content);

    bool owns(std::uint16_t slot, const std::string &key) const;
    std::uint64_t version() const;

    /** Returns the "ownership" object of the lease request. */
    nlohmann::json toJson() const;

private:
    std::uint64_t m_version = 0;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> m_ranges; ///< inclusive, sorted
    std::set<std::string> m_extraKeys;
    std::set<std::string> m_exceptKeys;
};

} // namespace sycamoretray::standins
