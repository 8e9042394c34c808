#pragma once

#include "base/monotonic_time.h"
#include "http_client/http_connection_pool.h"
#include "http_message/input_buffer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamoretray::detail
{

/** A request that waits for a connection or is in flight on one. */
struct pending_exchange {
    std::uint64_t id = 0;
    http_wire wire;
    bool headRequest = false;
    monotonic_time deadline;
    http_connection_pool::callback done;
    response_matching matching;
};

/**
 * A connection that carries at most one request at a time. A read is always pending, so that a close by the server is detected
 * even while the connection is idle.
 *
 * Thread safety: none; used on the strand of its pool.
 */
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    using strand_type = boost::asio::strand<boost::asio::io_context::executor_type>;

    /** Receives the events of a connection; implemented by the pool. */
    struct observer {
        virtual ~observer() = default;
        virtual void connected(client_connection &connection) = 0;
        virtual void connectFailed(client_connection &connection) = 0;
        /** The exchange has ended. The connection is idle if reusable, otherwise closed. */
        virtual void finished(client_connection &connection, pending_exchange exchange, http_exchange_result result, bool reusable) = 0;
        /** An idle connection was closed: by the server or because of unexpected data, or else @p byError. */
        virtual void closedIdle(client_connection &connection, bool byError) = 0;
    };

    client_connection(const strand_type &strand, observer &pool, const connection_pool_settings &settings);

    void connect(const boost::asio::ip::tcp::endpoint &endpoint);

    /** Precondition: connected and idle. */
    void start(pending_exchange exchange);

    /** Fails the exchange in flight with @p code and resets the connection. Precondition: busy. */
    void fail(result_code code);

    /** Closes the connection without notifying the pool. */
    void close();

    /** Like close(), but discards unsent data and sends a TCP reset. */
    void reset();

    bool isConnected() const noexcept
    {
        return m_connected;
    }

    bool isBusy() const noexcept
    {
        return m_busy;
    }

    const pending_exchange &exchange() const noexcept
    {
        return m_exchange;
    }

    connection_number number() const noexcept
    {
        return m_number;
    }

    /** Returns whether a response to @p exchange can be told from responses to earlier exchanges of this connection. */
    bool suits(const pending_exchange &exchange) const;

    /**
     * Keeps the connection of a peer that acknowledges what it gets but does not read, for which the system would end it after the timeout for
     * unresponsive peers. Call at windowCheckAt(). Precondition: busy.
     */
    void checkWindow(monotonic_time now);

    /** When checkWindow() is due; maximum if it need not be called. */
    monotonic_time windowCheckAt() const noexcept
    {
        return m_windowCheckAt;
    }

    /** Returns whether data has arrived after the last response. Precondition: connected and idle. */
    bool hasUnreadData() const;

    /** End of the connect timeout while connecting, of the idle timeout while idle. Maintained by the pool. */
    monotonic_time deadline;

private:
    void readMore();
    void received(const boost::system::error_code &error, std::size_t size);
    void parseReceived(std::string_view data);
    bool finishWithResponse(bool moreData);
    void rememberIdentity(const http_response &response);
    void connectionEnded(const boost::system::error_code &error);
    void setOptions();
    void setUnresponsivePeerTimeout(time_span timeout);
    void finish(http_exchange_result result, bool reusable);

    connection_number m_number;
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, strand_type> m_socket;
    observer *m_pool;
    http_response_parser m_parser;
    pending_exchange m_exchange;
    /** Received bytes that the parser has not consumed, because a header or chunk is incomplete. */
    std::string m_unparsed;
    input_buffer m_input;
    /** Memory of received bytes that are not part of a body yet. */
    budget_reservation m_unparsedReservation;
    bool m_connected = false;
    bool m_busy = false;
    bool m_writing = false;
    bool m_closed = false;
    time_span m_unresponsivePeerTimeout;
    monotonic_time m_windowCheckAt = monotonic_time::max();
    /** The timeout for unresponsive peers does not apply, as the peer does not read. */
    bool m_windowClosed = false;
    /** Number of exchanges that completed on this connection. */
    std::uint32_t m_finishedExchanges = 0;
    /** Identities of the requests that got a response other than a success on this connection. */
    std::vector<std::string> m_failedIdentities;
    /** A response that matched no request was received, so more may follow; the connection is not reused. */
    bool m_receivedStrayResponse = false;
};

} // namespace sycamoretray::detail
