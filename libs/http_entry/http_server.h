#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/result_code.h"
#include "http_message/http_parser.h"
#include "http_message/resource_budget.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
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
    /** Memory and connections, possibly shared with other users on the same thread; if null, they are not limited in total. */
    std::shared_ptr<resource_budget> budget;
    /** What the server takes memory for; if essential, neither connections nor requests are refused for lack of memory. */
    reservation_purpose purpose = reservation_purpose::request;
    /** Name of the server in reports of the budget. */
    std::string name;
    std::uint32_t maxConnections = 4096;
    /**
     * Size of the system's buffers for a connection in each direction; 0: chosen by the system. Counts as held while the system keeps data
     * because the server does not read, or the caller does not.
     */
    std::uint32_t socketBufferBytes = 0;
    /** Maximum number of pipelined requests of one connection that wait for their answers. */
    std::uint32_t pipelinedRequests = 32;
    /** Time limit for receiving a complete header after its first byte. */
    time_span headerTimeout = std::chrono::seconds(10);
    /** Time limit for receiving a body, and for sending answers; a second longer for each 64 KB of it. */
    time_span transferTimeout = std::chrono::seconds(10);
    /** Time after which a connection without a request is closed. */
    time_span idleTimeout = std::chrono::seconds(60);
    /** Makes the response to a request that violates the limits or the protocol; if null, errorAnswer() does. Called on any thread. */
    std::function<http_response(result_code code)> errorResponse;
};

namespace detail
{
class http_session;
}

/** Limits on what a caller may send, and how long it may take or stay idle. */
struct caller_transfer_limits {
    http_limits message;
    time_span headerTimeout{};
    time_span idleTimeout{};
};

/**
 * Handle for answering one request. Only the first answer is sent; later ones are ignored. If the handle is destroyed without an
 * answer, the connection is closed.
 *
 * Thread safety: any thread, one call at a time.
 */
class answer_handle
{
public:
    answer_handle(std::shared_ptr<detail::http_session> session, std::uint64_t sequence);
    ~answer_handle();
    answer_handle(const answer_handle &) = delete;
    answer_handle &operator=(const answer_handle &) = delete;

    /** @param closeConnection  read no more requests from the connection, and close it when those already read have been answered */
    void answer(http_response response, bool closeConnection = false);

    /** Returns the IP address of the caller's connection; empty if the connection was closed before its request was handled. */
    const std::string &callerAddress() const noexcept;

    /** True once the connection to the caller is closed, so that an answer can no longer be delivered. */
    bool callerDisconnected() const noexcept;

    /** Calls @p function if the connection closes before the answer is given; immediately if it is already closed. */
    void onCallerDisconnected(std::function<void()> function);

private:
    std::shared_ptr<detail::http_session> m_session;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_answered{ false };
};

/** Called with each request that a server receives, on any of its threads. */
using http_request_handler = std::function<void(http_request, std::shared_ptr<answer_handle>)>;

/**
 * HTTP/1.1 server with keep-alive and pipelining. Answers of a connection are sent in the order of its requests.
 *
 * Requests that violate the limits or the protocol are answered with an error response, and the connection is closed. If a new
 * connection exceeds a limit, another one is closed if it gives way (see resource_budget), otherwise the new one.
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

    /** Starts listening. Returns the error if the address is invalid or cannot be bound. */
    std::error_code start();

    /** Returns the port that start() bound; useful if the settings specify port 0. */
    std::uint16_t port() const noexcept;

    /** Changes the limits, for requests that begin later. Precondition: the context runs on one thread. */
    void setLimits(const caller_transfer_limits &limits);

    /**
     * Closes each connection after its next answer, so that callers connect to another instance. Pipelined requests that were read
     * before are answered first; no more are read.
     */
    void closeAfterAnswer();

    /** Closes the connections that are not receiving a request and have no unanswered one. */
    void closeIdle();

    /** Stops listening. Connections already in the accept queue are still accepted and served. */
    void stopListening();

    /** Stops listening and closes all connections. */
    void stop();

    std::uint32_t connections() const noexcept;

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
