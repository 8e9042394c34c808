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

/** Prefix of the keys, in the ownership topic, of the records that list the live instances of an availability zone. */
inline constexpr const char *instancesKeyPrefix = "instances/";

/** Returns the key of the record that lists the instances of @p zone. Thread-safe. */
inline std::string instancesKey(const availability_zone &zone)
{
    return instancesKeyPrefix + zone.value();
}

namespace detail
{

inline std::optional<availability_zone> zoneFromKey(const std::string &prefix, const std::string &key)
{
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    return availability_zone(key.substr(prefix.size()));
}

} // namespace detail

/** Returns the zone whose relay the record with this key names; nothing for other records. Thread-safe. */
inline std::optional<availability_zone> relayZone(const std::string &key)
{
    return detail::zoneFromKey(relayKeyPrefix, key);
}

/** Returns the zone whose instances the record with this key lists; nothing for other records. Thread-safe. */
inline std::optional<availability_zone> instancesZone(const std::string &key)
{
    return detail::zoneFromKey(instancesKeyPrefix, key);
}

} // namespace sycamoretray
