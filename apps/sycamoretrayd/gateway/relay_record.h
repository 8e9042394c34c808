#pragma once

#include "base/ids.h"

#include <optional>
#include <string>

namespace sycamoretray
{

/** Prefix of the keys, in the ownership topic, of the records that name the relay of an availability zone. */
inline constexpr const char *relayKeyPrefix = "relay/";

/** Returns the key of the record that names the relay of @p zone. Thread-safe. */
inline std::string relayKey(const availability_zone &zone)
{
    return relayKeyPrefix + zone.value();
}

/** Returns the zone whose relay the record with this key names; nothing for other records. Thread-safe. */
inline std::optional<availability_zone> relayZone(const std::string &key)
{
    const std::string prefix = relayKeyPrefix;
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    return availability_zone(key.substr(prefix.size()));
}

} // namespace sycamoretray
