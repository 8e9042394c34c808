#include "sycamoretrayd/gateway/load_report_channel.h"

#include "http_client/detail/endpoint_address.h"
#include "observability/event_log.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <utility>
#include <vector>

namespace sycamoretray
{

namespace
{

using boost::asio::ip::udp;

// Keeps a datagram below the size that networks carry in one piece: a key takes up to 8 bytes, an endpoint up to 40.
constexpr std::size_t keysPerDatagram = 100;
constexpr std::size_t endpointsPerDatagram = 12;
constexpr std::size_t largestDatagram = 65536;

std::vector<load_report> inParts(load_report report)
{
    std::vector<load_report> parts;
    std::size_t key = 0;
    std::size_t endpoint = 0;
    while (key < report.keys.size() || endpoint < report.endpoints.size()) {
        load_report part{ report.instance, report.service, {}, {} };
        for (; key < report.keys.size() && part.keys.size() < keysPerDatagram; ++key) {
            part.keys.push_back(report.keys[key]);
        }
        for (; endpoint < report.endpoints.size() && part.endpoints.size() < endpointsPerDatagram; ++endpoint) {
            part.endpoints.push_back(report.endpoints[endpoint]);
        }
        parts.push_back(std::move(part));
    }
    return parts;
}

std::optional<udp::endpoint> udpEndpoint(const network_address &address)
{
    boost::asio::ip::tcp::endpoint parsed;
    if (!detail::parseAddress(address, parsed)) {
        return std::nullopt;
    }
    return udp::endpoint(parsed.address(), parsed.port());
}

} // namespace

struct load_report_channel::impl {
    impl(boost::asio::io_context &context, network_address givenAddress, std::function<void(const load_report &)> givenReceived)
        : socket(context)
        , address(std::move(givenAddress))
        , received(std::move(givenReceived))
    {
    }

    udp::socket socket;
    network_address address;
    std::function<void(const load_report &)> received;
    std::array<char, largestDatagram> input{};
    udp::endpoint sender;

    void receive()
    {
        socket.async_receive_from(boost::asio::buffer(input), sender, [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            // Other errors report that an earlier datagram of ours met no receiver.
            if (!error) {
                if (const auto report = decodeLoadReport({ input.data(), size })) {
                    received(*report);
                } else {
                    logEvent(event_severity::warning, "load_report_unreadable", { { "bytes", std::to_string(size) } });
                }
            }
            receive();
        });
    }
};

load_report_channel::load_report_channel(boost::asio::io_context &context, const network_address &address, std::function<void(const load_report &)> received)
    : d(std::make_unique<impl>(context, address, std::move(received)))
{
}

load_report_channel::~load_report_channel() = default;

std::error_code load_report_channel::start()
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

void load_report_channel::send(const network_address &assigner, load_report report)
{
    const auto endpoint = udpEndpoint(assigner);
    if (!endpoint) {
        return;
    }
    for (const load_report &part : inParts(std::move(report))) {
        const std::string data = encodeLoadReport(part);
        boost::system::error_code error;
        d->socket.send_to(boost::asio::buffer(data), *endpoint, 0, error);
        if (error) {
            logEvent(event_severity::warning, "load_report_not_sent", { { "assigner", assigner.value() }, { "error", error.message() } });
        }
    }
}

} // namespace sycamoretray
