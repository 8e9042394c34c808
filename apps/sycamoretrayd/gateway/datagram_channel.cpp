#include "sycamoretrayd/gateway/datagram_channel.h"

#include "http_client/detail/endpoint_address.h"
#include "observability/event_log.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace sycamoretray
{

namespace
{

using boost::asio::ip::udp;

constexpr std::size_t maxDatagramBytes = 65536;

std::optional<udp::endpoint> udpEndpoint(const network_address &address)
{
    boost::asio::ip::tcp::endpoint parsed;
    if (!detail::parseAddress(address, parsed)) {
        return std::nullopt;
    }
    return udp::endpoint(parsed.address(), parsed.port());
}

network_address addressOf(const udp::endpoint &endpoint)
{
    return network_address(endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
}

} // namespace

struct datagram_channel::impl {
    impl(boost::asio::io_context &context, network_address givenAddress)
        : socket(context)
        , address(std::move(givenAddress))
    {
    }

    udp::socket socket;
    network_address address;
    std::map<datagram_kind, handler> handlers;
    std::map<network_address, udp::endpoint> receivers;
    std::array<char, maxDatagramBytes> input{};
    udp::endpoint sender;

    void receive()
    {
        socket.async_receive_from(boost::asio::buffer(input), sender, [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            // Other errors report that a datagram sent earlier had no receiver.
            if (!error) {
                received({ input.data(), size });
            }
            receive();
        });
    }

    void received(std::string_view data)
    {
        const auto found = data.empty() ? handlers.end() : handlers.find(static_cast<datagram_kind>(data.front()));
        if (found == handlers.end()) {
            logEvent(event_severity::warning, "datagram_unknown", { { "from", addressOf(sender).value() }, { "bytes", std::to_string(data.size()) } });
            return;
        }
        found->second(addressOf(sender), data.substr(1));
    }
};

datagram_channel::datagram_channel(boost::asio::io_context &context, const network_address &address)
    : d(std::make_unique<impl>(context, address))
{
}

datagram_channel::~datagram_channel() = default;

void datagram_channel::setHandler(datagram_kind kind, handler received)
{
    d->handlers[kind] = std::move(received);
}

std::error_code datagram_channel::start()
{
    const auto endpoint = udpEndpoint(d->address);
    if (!endpoint) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    boost::system::error_code error;
    d->socket.open(endpoint->protocol(), error);
    if (!error) {
        d->socket.bind(*endpoint, error);
    }
    if (!error) {
        d->socket.non_blocking(true, error);
        d->receive();
    }
    return error;
}

void datagram_channel::send(const network_address &to, datagram_kind kind, std::string_view content)
{
    auto receiver = d->receivers.find(to);
    if (receiver == d->receivers.end()) {
        const auto endpoint = udpEndpoint(to);
        if (!endpoint) {
            logEvent(event_severity::warning, "datagram_not_sent", { { "to", to.value() }, { "error", "not an address" } });
            return;
        }
        receiver = d->receivers.emplace(to, *endpoint).first;
    }
    const char first = static_cast<char>(kind);
    const std::array<boost::asio::const_buffer, 2> parts{ boost::asio::buffer(&first, 1), boost::asio::buffer(content.data(), content.size()) };
    boost::system::error_code error;
    d->socket.send_to(parts, receiver->second, 0, error);
    if (error) {
        logEvent(event_severity::warning, "datagram_not_sent", { { "to", to.value() }, { "error", error.message() } });
    }
}

} // namespace sycamoretray
