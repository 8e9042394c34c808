#pragma once

#include "base/ids.h"
#include "key_ownership/key_load.h"

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace sycamoretray
{

/**
 * Sends and receives load reports as datagrams. A lost report only makes the averages a little older, so that nothing is repeated.
 *
 * Thread safety: none; used by the one thread that runs the io_context.
 */
class load_report_channel
{
public:
    load_report_channel(boost::asio::io_context &context, const network_address &address, std::function<void(const load_report &)> received);
    ~load_report_channel();
    load_report_channel(const load_report_channel &) = delete;
    load_report_channel &operator=(const load_report_channel &) = delete;

    /** Starts to receive. Returns the error if the address cannot be used. */
    std::error_code start();

    void send(const network_address &assigner, load_report report);

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
