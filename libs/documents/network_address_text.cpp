#include "documents/network_address_text.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <optional>

namespace sycamoretray
{

namespace
{

bool isPort(const std::string &text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc() && end == text.data() + text.size() && port != 0;
}

std::optional<boost::asio::ip::address> parseHost(const std::string &host)
{
    boost::system::error_code error;
    const bool bracketed = host.starts_with('[') && host.ends_with(']');
    if (bracketed) {
        const auto address = boost::asio::ip::make_address_v6(host.substr(1, host.size() - 2), error);
        return error ? std::nullopt : std::optional<boost::asio::ip::address>(address);
    }
    const auto address = boost::asio::ip::make_address_v4(host, error);
    return error ? std::nullopt : std::optional<boost::asio::ip::address>(address);
}

} // namespace

bool isNetworkAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return colon != std::string::npos && isPort(text.substr(colon + 1)) && parseHost(text.substr(0, colon)).has_value();
}

bool isLoopbackAddress(const std::string &text)
{
    const auto host = parseHost(text.substr(0, text.rfind(':')));
    return host.has_value() && host->is_loopback();
}

} // namespace sycamoretray
