#pragma once

#include <string>

namespace sycamoretray
{

inline constexpr const char *networkAddressRemedy = "write an IP number and a port, such as 127.0.0.1:8080";

/** Returns true for "IPv4:port" and "[IPv6]:port". Host names are refused: processes talk by IP number. Thread-safe. */
bool isNetworkAddress(const std::string &text);

/** Returns true if the address is 127.0.0.0/8 or [::1]. Precondition: isNetworkAddress(@p text). Thread-safe. */
bool isLoopbackAddress(const std::string &text);

} // namespace sycamoretray
