#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace sycamoretray
{

/** Encodes @p value as CBOR. Thread-safe. */
std::string encodeCbor(const nlohmann::json &value);

/** Decodes CBOR. Returns a discarded value if @p data is malformed. Thread-safe. */
nlohmann::json decodeCbor(std::string_view data);

} // namespace sycamoretray
