#pragma once

#include <string>

namespace sycamoretray
{

inline constexpr const char *networkAddressRemedy = "write an IP number and a port, such as 127.0.0.1:8080";

/**
 * Returns whether @p text has the form "IPv4:port" or "[IPv6]:port". Host names are rejected, because processes connect to IP
 * addresses without name resolution. Thread-safe.
 */
bool isNetworkAddress(const std::string &text);

/** Returns whether the address is in 127.0.0.0/8 or is [::1]. Precondition: isNetworkAddress(@p text). Thread-safe. */
bool isLoopbackAddress(const std::string &text);

} // namespace sycamoretray
