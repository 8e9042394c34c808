#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/result_code.h"
#include "executor/serial_executor.h"
#include "http_message/http_parser.h"
#include "http_message/resource_budget.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sycamoretray
{

/** What happened to a connection of a pool. */
enum class connection_event {
    opened,
    /** Could not be opened: the peer or the network refused it. */
    refused,
    /** Could not be opened in the connect timeout. */
    connect_timed_out,
    /** A complete response arrived. */
    answered,
    /** The time of the request ended without a response. */
    unanswered,
    /** Ended by an error, with or without a request on it. An idle connection that the peer closes in the regular way does not count. */
    lost,
};

/** A request in wire format. The body is kept apart, so that requests that are sent again share it. */
struct http_wire {
    http_wire() = default;
    http_wire(std::string givenHead, http_body givenBody = {})
        : head(std::move(givenHead))
        , body(std::move(givenBody))
    {
    }

    /** Returns head and body as one string. */
    std::string text() const
    {
        return head + body.text();
    }

    std::string head;
    http_body body;
};

struct connection_pool_settings {
    std::uint32_t maxConnections = 100;
    /** Number of idle connections to keep open, so that requests do not wait for a connection to be established. */
    std::uint32_t spareConnections = 2;
    /** Idle connections in excess of spareConnections are closed after this time. */
    time_span idleTimeout = std::chrono::seconds(10);
    time_span connectTimeout = std::chrono::seconds(1);
    /**
     * Open one connection only, and none after it is lost, so that every request reaches the same process. Requests that find it lost, or
     * wait for it until their timeout, fail unsent with server_connection_lost.
     */
    bool singleConnection = false;
    /**
     * Time after which a connection is closed if its peer acknowledges none of the data that was sent; 0: system default. Without such data,
     * it is closed at the first second after this time at which a keep-alive probe is unanswered: after 2 s if the value is 1 or 2 s. The
     * peer's system acknowledges data even if its process has stopped running.
     */
    time_span unresponsivePeerTimeout{};
    /** Close the idle connections too if a request times out. They may have become unresponsive together, and each would cost another timeout. */
    bool closeIdleAfterTimeout = false;
    http_limits limits;
    /** Memory limit shared by the pools of a process; if null, the total size of responses is unlimited. */
    std::shared_ptr<resource_budget> budget;
    /** Called with each event, if set. It must not use the pool. */
    std::function<void(connection_event)> observe;
};

/** Result of one request. */
struct http_exchange_result {
    /**
     * ok, peer_unreachable (no connection, nothing was sent), server_connection_lost, answer_truncated, deadline_while_running
     * (timeout), malformed_message, or header_too_large and body_too_large for the response.
     */
    result_code code = result_code::ok;
    /** False only if no byte of the request was sent. */
    bool sent = true;
    /** Connection on which the request was sent. */
    connection_number connection;
    http_response response;
};

/** How the responses to a request are recognized. A faulty server may send a response to an earlier request of the connection once more. */
struct response_matching {
    /** Returns whether a response is for the request. On a reused connection, other responses are skipped. Null: every response is. */
    std::function<bool(const http_response &)> matches;
    /**
     * Identifies the request in its responses; empty if nothing does. A request that got a response other than a success is not
     * sent again on the same connection, as the responses to both would look alike.
     */
    std::string identity;
    /** Send the request on a connection without earlier responses. */
    bool newConnection = false;
};

/**
 * Pool of connections to one HTTP server. Each connection carries one request at a time.
 *
 * Thread safety: none; all calls are made on the strand of the executor, and callbacks run on it.
 */
class http_connection_pool
{
public:
    using callback = std::function<void(http_exchange_result)>;

    http_connection_pool(serial_executor executor, const network_address &address, connection_pool_settings settings);

    /** Closes all connections. No callback runs afterwards. */
    ~http_connection_pool();
    http_connection_pool(const http_connection_pool &) = delete;
    http_connection_pool &operator=(const http_connection_pool &) = delete;

    /** Opens the spare connections. */
    void open();

    /**
     * Sends a request and calls @p done once with the result, never from within this call.
     *
     * @param wire  the request in wire format
     * @param headRequest  the response has no body, whatever its header says
     * @param timeout  time after which the exchange fails and its connection is reset
     * @param matching  how to recognize the response to this request
     * @return an id for abort()
     */
    std::uint64_t exchange(http_wire wire, bool headRequest, time_span timeout, callback done, response_matching matching = {});

    /** Cancels an exchange and resets its connection; its callback is not called. Unknown ids are ignored. */
    void abort(std::uint64_t exchange);

    std::uint32_t openConnections() const noexcept;

    /** False if every further request fails unsent, as the address is invalid or the single connection was lost. */
    bool isUsable() const noexcept;

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
