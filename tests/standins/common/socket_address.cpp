#include "standins/common/socket_address.h"

#include <boost/asio/ip/address.hpp>

#include <stdexcept>

namespace sycamoretray::standins
{

boost::asio::ip::tcp::endpoint parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    if (colon == std::string::npos || error) {
        throw std::invalid_argument("address '" + address + "' is not an IP address and a port, such as 127.0.0.1:8080");
    }
    return { ip, static_cast<unsigned short>(std::stoul(address.substr(colon + 1))) };
}

} // namespace sycamoretray::standins
