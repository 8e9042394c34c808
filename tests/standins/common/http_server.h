#pragma once

#include "standins/common/http_message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace sycamoretray::standins
{

/**
 * Sends the reply; an empty optional closes the connection without a reply. Must be called at most once, during the
 * handler call or later.
 */
using respond_function = std::function<void(std::optional<http_response>)>;
using request_handler = std::function<void(http_request, respond_function)>;

/**
 * HTTP/1.1 server on one address.
 *
 * Thread safety: none; the io_context must be run by one thread.
 */
class http_server
{
public:
    /**
     * Listens on @p address and calls @p handler for each request.
     *
     * @throws boost::system::system_error if the address cannot be bound
     */
    http_server(boost::asio::io_context &context, const std::string &address, request_handler handler);
    ~http_server();

private:
    struct listener;
    std::shared_ptr<listener> d;
};

} // namespace sycamoretray::standins
