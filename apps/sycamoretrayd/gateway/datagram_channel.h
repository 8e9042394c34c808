#pragma once

#include "base/ids.h"

#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace boost::asio
{
class io_context;
}

namespace sycamoretray
{

/** Content type of a datagram between instances, sent as its first byte. */
enum class datagram_kind : char {
    load_report = 'l',
    permit = 'p',
    crash_report = 'c',
};

/**
 * Sends and receives datagrams between instances. They may be lost, or arrive out of order.
 *
 * Thread safety: none; used by the one thread that runs the io_context.
 */
class datagram_channel
{
public:
    using handler = std::function<void(const network_address &from, std::string_view content)>;

    datagram_channel(boost::asio::io_context &context, const network_address &address);
    ~datagram_channel();
    datagram_channel(const datagram_channel &) = delete;
    datagram_channel &operator=(const datagram_channel &) = delete;

    /** Sets the handler for datagrams of this kind. Call it before start(). */
    void setHandler(datagram_kind kind, handler received);

    /** Starts to receive. Returns the error if the address cannot be used. */
    std::error_code start();

    /** Sends a datagram; if it cannot be sent, the error is logged and the datagram counts as lost. */
    void send(const network_address &to, datagram_kind kind, std::string_view content);

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
