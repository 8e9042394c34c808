#include "http_client/detail/endpoint_address.h"

#include <charconv>

namespace sycamoretray::detail
{

bool parseAddress(const network_address &address, boost::asio::ip::tcp::endpoint &endpoint)
{
    const std::string &text = address.value();
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    std::string host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto number = boost::asio::ip::make_address(host, error);
    if (parsed.ec != std::errc() || parsed.ptr != end || error) {
        return false;
    }
    endpoint = { number, port };
    return true;
}

} // namespace sycamoretray::detail
