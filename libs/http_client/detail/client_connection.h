#pragma once

#include "base/monotonic_time.h"
#include "http_client/http_connection_pool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace sycamoretray::detail
{

/** One request that waits for a connection or runs on one. */
struct pending_exchange {
    std::uint64_t id = 0;
    std::string wire;
    bool headRequest = false;
    monotonic_time deadline;
    http_connection_pool::callback done;
    http_connection_pool::filter belongs;
};

/**
 * A connection with at most one request at a time. A read is always pending, so that a close by the server is seen while
 * the connection is idle.
 *
 * Thread safety: none; used on the strand of its pool.
 */
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    using strand_type = boost::asio::strand<boost::asio::io_context::executor_type>;

    /** What a connection tells its pool. */
    struct observer {
        virtual ~observer() = default;
        virtual void connected(client_connection &connection) = 0;
        virtual void connectFailed(client_connection &connection) = 0;
        /** The exchange is over; the connection is idle if reusable, else closed. */
        virtual void finished(client_connection &connection, pending_exchange exchange, http_exchange_result result, bool reusable) = 0;
        /** An idle connection was closed by the server. */
        virtual void closedIdle(client_connection &connection) = 0;
    };

    client_connection(const strand_type &strand, observer &pool, const connection_pool_settings &settings);

    void connect(const boost::asio::ip::tcp::endpoint &endpoint);

    /** Precondition: connected and idle. */
    void start(pending_exchange exchange);

    /** Ends the running exchange with @p code, and closes the connection. Precondition: busy. */
    void fail(result_code code);

    /** Closes the connection without telling the pool. */
    void close();

    /** As close(), and discards what the peer has not received yet. */
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

    /** Connection timeout while connecting, idle timeout while idle; kept by the pool. */
    monotonic_time deadline;

private:
    void readMore();
    void received(const boost::system::error_code &error, std::size_t size);
    void parseReceived(std::string_view data);
    bool takeResponse(bool moreData);
    void connectionEnded(const boost::system::error_code &error);
    void setOptions();
    void finish(http_exchange_result result, bool reusable);

    boost::asio::basic_stream_socket<boost::asio::ip::tcp, strand_type> m_socket;
    observer *m_pool;
    http_response_parser m_parser;
    pending_exchange m_exchange;
    /** Bytes received but not parsed, because a header is incomplete. */
    std::string m_unparsed;
    std::array<char, 16384> m_input{};
    /** What the exchange has received. */
    budget_reservation m_received;
    bool m_connected = false;
    bool m_busy = false;
    bool m_writing = false;
    bool m_closed = false;
    time_span m_silenceLimit;
    /** Exchanges that ended on this connection. */
    std::uint32_t m_finished = 0;
    /** A response that belonged to no request was seen, so that more may follow. */
    bool m_tainted = false;
};

} // namespace sycamoretray::detail
