#include "documents/cbor.h"

#include <vector>

namespace sycamoretray
{

std::string encodeCbor(const nlohmann::json &value)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(value);
    return { bytes.begin(), bytes.end() };
}

nlohmann::json decodeCbor(std::string_view data)
{
    constexpr bool strict = true;
    constexpr bool allowExceptions = false;
    return nlohmann::json::from_cbor(data, strict, allowExceptions);
}

} // namespace sycamoretray
