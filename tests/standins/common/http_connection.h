#pragma once

#include "standins/common/http_message.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace sycamoretray::standins
{

enum class exchange_result {
    complete,
    /** The connection could not be opened: nothing was sent. */
    refused,
    /** The connection ended before the first byte of the reply. */
    closed,
    /** The connection ended before the reply was complete. */
    truncated,
    timeout,
};

using reply_handler = std::function<void(exchange_result, http_response)>;

/**
 * Client connection that carries one request at a time. It is opened on demand and kept alive between requests.
 *
 * Thread safety: none; the io_context must be run by one thread.
 */
class http_connection
{
public:
    http_connection(boost::asio::io_context &context, const std::string &address);
    ~http_connection();

    /** Sends @p request and calls @p handler exactly once. Precondition: not busy(). */
    void send(const http_request &request, std::chrono::milliseconds timeout, reply_handler handler);

    bool busy() const;

private:
    struct exchange;
    std::shared_ptr<exchange> d;
};

} // namespace sycamoretray::standins
