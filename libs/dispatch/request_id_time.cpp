#include "dispatch/request_id_time.h"

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>

#include <cstdint>
#include <stdexcept>

namespace sycamoretray
{

namespace
{

constexpr std::size_t canonicalLength = 36;
constexpr unsigned timeOrderedVersion = 7;
constexpr std::size_t timestampBytes = 6;

} // namespace

std::optional<wall_time> creationTimeOfRequestId(std::string_view text) noexcept
{
    // string_generator also accepts braces and missing hyphens; only the canonical form has this length.
    if (text.size() != canonicalLength) {
        return std::nullopt;
    }
    boost::uuids::uuid id{};
    try {
        id = boost::uuids::string_generator()(text.begin(), text.end());
    } catch (const std::runtime_error &) {
        return std::nullopt;
    }
    // Boost 1.81 knows only versions up to 5, so the version field (high 4 bits of byte 6) is read directly.
    if ((id.data[timestampBytes] >> 4U) != timeOrderedVersion || id.variant() != boost::uuids::uuid::variant_rfc_4122) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    for (std::size_t i = 0; i < timestampBytes; ++i) {
        milliseconds = milliseconds * 256 + id.data[i];
    }
    return wall_time(std::chrono::milliseconds(milliseconds));
}

} // namespace sycamoretray
