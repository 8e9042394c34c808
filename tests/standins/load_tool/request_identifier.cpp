#include "standins/load_tool/request_identifier.h"

#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace sycamoretray::standins
{

std::string newRequestIdentifier(std::int64_t createdMs, std::mt19937_64 &random)
{
    boost::uuids::uuid id{};
    std::uint64_t high = random();
    std::uint64_t low = random();
    for (int i = 0; i < 6; ++i) {
        id.data[i] = static_cast<std::uint8_t>(createdMs >> (8 * (5 - i)));
    }
    id.data[6] = static_cast<std::uint8_t>(0x70 | (high & 0x0f));
    id.data[7] = static_cast<std::uint8_t>(high >> 8);
    id.data[8] = static_cast<std::uint8_t>(0x80 | (low & 0x3f));
    for (int i = 9; i < 16; ++i) {
        low >>= 8;
        id.data[i] = static_cast<std::uint8_t>(low);
    }
    return boost::uuids::to_string(id);
}

} // namespace sycamoretray::standins
