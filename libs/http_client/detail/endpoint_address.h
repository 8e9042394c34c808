#pragma once

#include "base/ids.h"

#include <boost/asio/ip/tcp.hpp>

namespace sycamoretray::detail
{

/** Parses "127.0.0.1:8080" or "[::1]:8080" without name resolution. Returns false if @p address does not have that form. Thread-safe. */
bool parseAddress(const network_address &address, boost::asio::ip::tcp::endpoint &endpoint);

} // namespace sycamoretray::detail
