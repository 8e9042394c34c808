#include "sycamoretrayd/request_id_generator.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <algorithm>

namespace sycamoretray
{

request_id generateRequestId(wall_time now)
{
    thread_local boost::uuids::random_generator_mt19937 generator;
    constexpr std::size_t timeBytes = 6;
    constexpr std::size_t versionByte = 6;
    boost::uuids::uuid id = generator();
    auto milliseconds = static_cast<std::uint64_t>(now.time_since_epoch().count());
    for (std::size_t i = timeBytes; i > 0; --i) {
        id.data[i - 1] = static_cast<std::uint8_t>(milliseconds & 0xffU);
        milliseconds >>= 8U;
    }
    id.data[versionByte] = static_cast<std::uint8_t>((id.data[versionByte] & 0x0fU) | 0x70U);
    return request_id(boost::uuids::to_string(id));
}

incarnation_id generateIncarnation(const instance_id &instance)
{
    boost::uuids::random_generator generator;
    std::string text = boost::uuids::to_string(generator());
    text.erase(std::remove(text.begin(), text.end(), '-'), text.end());
    constexpr std::size_t digits = 16;
    return incarnation_id(instance.value() + "#" + text.substr(0, digits));
}

} // namespace sycamoretray
