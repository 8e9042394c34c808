#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/result_code.h"
#include "executor/serial_executor.h"
#include "http_message/buffer_budget.h"
#include "http_message/http_parser.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sycamoretray
{

struct connection_pool_settings {
    std::uint32_t maxConnections = 100;
    /** Idle connections kept open, so that a request never waits for a handshake. */
    std::uint32_t spareConnections = 2;
    /** Idle connections beyond the spare ones are closed after this time. */
    time_span idleTimeout = std::chrono::seconds(10);
    time_span connectTimeout = std::chrono::seconds(1);
    /** A connection whose peer does not acknowledge data or keep-alive probes for about this time is closed; 0 leaves it to the system. */
    time_span silenceLimit{};
    /** A timeout closes the idle connections too: they may have gone silent at the same moment, and each would cost another timeout. */
    bool closeIdleAfterTimeout = false;
    http_limits limits;
    /** Shared by the pools of a process; none leaves the sum of all responses unlimited. */
    std::shared_ptr<buffer_budget> budget;
};

/** Result of one request. */
struct http_exchange_result {
    /**
     * ok, peer_unreachable (no connection, nothing was sent), server_connection_lost, answer_truncated, deadline_while_running
     * (timeout), malformed_message, or header_too_large and body_too_large for the response.
     */
    result_code code = result_code::ok;
    /** False if certainly no byte of the request left this process. */
    bool sent = true;
    http_response response;
};

/**
 * Connections to one HTTP server. Each carries one request at a time.
 *
 * Thread safety: none; all calls are made on the strand of the executor, and callbacks run on it.
 */
class http_connection_pool
{
public:
    using callback = std::function<void(http_exchange_result)>;
    using filter = std::function<bool(const http_response &)>;

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
     * @param headRequest  the response has no body whatever its header says
     * @param timeout  time until the exchange is given up and its connection reset
     * @param belongs  says whether a response is meant for this request. On a connection that was used before, others are
     *                 skipped, because the server may have sent a second response to an earlier request.
     * @return an id for abort()
     */
    std::uint64_t exchange(std::string wire, bool headRequest, time_span timeout, callback done, filter belongs = nullptr);

    /** Gives up an exchange and resets its connection; its callback is not called. Unknown ids are ignored. */
    void abort(std::uint64_t exchange);

    std::uint32_t openConnections() const noexcept;

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
