#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace sycamoretray::standins
{

/** Parses "127.0.0.1:8080". @throws std::invalid_argument if @p address has no IP address or no port. */
boost::asio::ip::tcp::endpoint parseAddress(const std::string &address);

} // namespace sycamoretray::standins
