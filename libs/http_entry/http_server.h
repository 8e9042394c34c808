#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "http_message/buffer_budget.h"
#include "http_message/http_parser.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>

namespace boost::asio
{
class io_context;
}

namespace sycamoretray
{

struct http_server_settings {
    network_address address;
    http_limits limits;
    /** Shared with others of the process, all used by one thread; none leaves the sum of all requests unlimited. */
    std::shared_ptr<buffer_budget> budget;
    std::uint32_t maxConnections = 4096;
    /** Requests of one connection that may wait for their answers at the same time. */
    std::uint32_t pipelinedRequests = 32;
    /** Time for a complete request after its first byte, and for the caller to take an answer. */
    time_span transferTimeout = std::chrono::seconds(10);
    /** Time a connection may stay open without a request. */
    time_span idleTimeout = std::chrono::seconds(60);
};

namespace detail
{
class http_session;
}

/**
 * The place to which the answer to one request goes. It is used once; a second answer is ignored. If it is destroyed without
 * an answer, the connection is closed.
 *
 * Thread safety: any thread, one call at a time.
 */
class answer_slot
{
public:
    answer_slot(std::shared_ptr<detail::http_session> session, std::uint64_t sequence, bool headRequest, bool keepAlive);
    ~answer_slot();
    answer_slot(const answer_slot &) = delete;
    answer_slot &operator=(const answer_slot &) = delete;

    void answer(http_response response);

    /** True once the caller closed its connection, which means that nobody waits for the answer. */
    bool callerGone() const noexcept;

    /** Calls @p function when the caller closes its connection before the answer; at once if it is already gone. */
    void onCallerGone(std::function<void()> function);

private:
    std::shared_ptr<detail::http_session> m_session;
    std::uint64_t m_sequence = 0;
    bool m_headRequest = false;
    bool m_keepAlive = true;
    std::atomic<bool> m_answered{ false };
};

/** Receives the requests of a server, on any of its threads. */
using http_request_handler = std::function<void(http_request, std::shared_ptr<answer_slot>)>;

/**
 * HTTP/1.1 server with keep-alive and pipelining: the answers of a connection go out in the order of its requests.
 *
 * Requests that break the limits or the protocol are answered with a numbered error, and the connection is closed. The number
 * of connections is bounded: beyond it, a new connection is closed at once.
 *
 * Thread safety: any thread.
 */
class http_server
{
public:
    http_server(boost::asio::io_context &context, http_server_settings settings, http_request_handler handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /** Starts to listen. Returns the error if the address cannot be used. */
    std::error_code start();

    /** Port that start() bound; useful if the settings name port 0. */
    std::uint16_t port() const noexcept;

    /** Connections are closed after their next answer, so that callers turn to another instance. */
    void closeAfterAnswer();

    /** Closes the connections on which no request is being received or waits for its answer. */
    void closeIdle();

    /** Stops listening. Connections that callers have opened before are still accepted and served. */
    void stopListening();

    /** Stops listening and closes all connections. */
    void stop();

    std::uint32_t connections() const noexcept;

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
