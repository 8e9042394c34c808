#include "http_client/detail/client_connection.h"

#include "executor/steady_time.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace sycamoretray::detail
{

namespace
{

// A connection is replaced after this number of responses other than a success.
constexpr std::size_t maxFailedIdentities = 64;
// A peer that reads nothing takes a request of this size all the same, as its system's buffers hold it.
constexpr std::size_t bufferedBytes = 16UL * 1024;
// Less than half of the shortest timeout for unresponsive peers.
constexpr time_span windowCheckInterval = std::chrono::milliseconds(400);

connection_number nextNumber()
{
    static std::atomic<std::uint64_t> last = 0;
    return connection_number(++last);
}

} // namespace

client_connection::client_connection(const strand_type &strand, observer &pool, const connection_pool_settings &settings)
    : m_number(nextNumber())
    , m_socket(strand)
    , m_pool(&pool)
    , m_parser(settings.limits, settings.budget)
    , m_unparsedReservation(settings.budget)
    , m_unresponsivePeerTimeout(settings.unresponsivePeerTimeout)
{
}

void client_connection::setOptions()
{
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    if (m_unresponsivePeerTimeout == time_span::zero()) {
        return;
    }
    // The first keep-alive probe is sent after half of the timeout, at least 1 s. With TCP_USER_TIMEOUT, the connection fails when that time
    // has passed at the next probe, whatever the count.
    using keepalive_idle_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using keepalive_interval_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using keepalive_count_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(m_unresponsivePeerTimeout);
    const int idleSeconds = std::max(1, static_cast<int>(seconds.count() / 2));
    setUnresponsivePeerTimeout(m_unresponsivePeerTimeout);
    m_socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    m_socket.set_option(keepalive_idle_option(idleSeconds), ignored);
    m_socket.set_option(keepalive_interval_option(1), ignored);
    m_socket.set_option(keepalive_count_option(std::max(1, static_cast<int>(seconds.count()) - idleSeconds)), ignored);
}

void client_connection::setUnresponsivePeerTimeout(time_span timeout)
{
    using user_timeout_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    boost::system::error_code ignored;
    m_socket.set_option(user_timeout_option(static_cast<int>(limit.count())), ignored);
}

void client_connection::checkWindow(monotonic_time now)
{
    int unsent = 0;
    int unacknowledged = 0;
    const int socket = m_socket.native_handle();
    const bool known = ::ioctl(socket, SIOCOUTQNSD, &unsent) == 0 && ::ioctl(socket, SIOCOUTQ, &unacknowledged) == 0;
    // All that was sent is acknowledged, but the rest can't be sent. TCP_USER_TIMEOUT also ends such connections.
    const bool closed = known && unsent > 0 && unacknowledged == unsent;
    if (closed != m_windowClosed) {
        m_windowClosed = closed;
        setUnresponsivePeerTimeout(closed ? time_span::zero() : m_unresponsivePeerTimeout);
    }
    m_windowCheckAt = now + windowCheckInterval;
}

void client_connection::connect(const boost::asio::ip::tcp::endpoint &endpoint)
{
    m_socket.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code &error) {
        if (self->m_closed) {
            return;
        }
        if (error) {
            self->close();
            self->m_pool->connectFailed(*self);
            return;
        }
        self->setOptions();
        self->m_connected = true;
        self->readMore();
        self->m_pool->connected(*self);
    });
}

void client_connection::start(pending_exchange exchange)
{
    m_exchange = std::move(exchange);
    m_busy = true;
    m_writing = true;
    m_unparsed = {};
    m_parser.reset(m_exchange.headRequest);
    // The handler owns the buffers, because the exchange can end before the write does.
    auto wire = std::make_shared<http_wire>(std::move(m_exchange.wire));
    const bool buffered = wire->head.size() + wire->body.size() <= bufferedBytes;
    m_windowCheckAt = buffered || m_unresponsivePeerTimeout == time_span::zero() ? monotonic_time::max() : steadyNow() + windowCheckInterval;
    std::vector<boost::asio::const_buffer> buffers{ boost::asio::buffer(wire->head) };
    for (const std::string_view piece : wire->body.pieces()) {
        buffers.push_back(boost::asio::buffer(piece.data(), piece.size()));
    }
    boost::asio::async_write(m_socket, buffers, [self = shared_from_this(), wire](const boost::system::error_code &error, std::size_t) {
        self->m_writing = false;
        if (error && !self->m_closed && self->m_busy) {
            self->fail(result_code::server_connection_lost);
        }
    });
}

void client_connection::fail(result_code code)
{
    http_exchange_result result;
    result.code = code;
    reset();
    finish(std::move(result), false);
}

void client_connection::reset()
{
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

void client_connection::close()
{
    m_closed = true;
    m_connected = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void client_connection::readMore()
{
    m_socket.async_read_some(boost::asio::buffer(m_input.data(), m_input.size()),
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                                 self->received(error, size);
                             });
}

void client_connection::received(const boost::system::error_code &error, std::size_t size)
{
    if (m_closed) {
        return;
    }
    if (error) {
        connectionEnded(error);
        return;
    }
    if (!m_busy) {
        // Data without a request: it could be mistaken for the next response.
        close();
        m_pool->closedIdle(*this, false);
        return;
    }
    if (!m_parser.reserveBody(size) || !m_unparsedReservation.tryResize(m_unparsed.capacity() + size, reservation_purpose::answer)) {
        fail(result_code::body_too_large);
        return;
    }
    parseReceived({ m_input.data(), size });
    m_unparsedReservation.resize(m_busy ? m_unparsed.capacity() : 0);
    if (!m_closed) {
        m_input.adapt(size, m_busy);
        readMore();
    }
}

void client_connection::parseReceived(std::string_view data)
{
    if (!m_unparsed.empty()) {
        m_unparsed.append(data);
        data = m_unparsed;
    }
    std::size_t position = 0;
    while (position < data.size() && m_parser.state() == http_parse_state::need_more) {
        const std::size_t used = m_parser.feed(data.substr(position));
        position += used;
        if (m_parser.state() == http_parse_state::complete && !finishWithResponse(position < data.size())) {
            continue;
        }
        if (used == 0 || !m_busy) {
            break;
        }
    }
    if (!m_busy) {
        m_unparsed = {};
    } else if (m_parser.state() == http_parse_state::failed) {
        fail(m_parser.error());
    } else {
        m_unparsed = std::string(data.substr(position));
    }
}

/** Ends the exchange with the complete response. Returns false if the response is for another request and was skipped. */
bool client_connection::finishWithResponse(bool moreData)
{
    http_exchange_result result;
    result.response = m_parser.take();
    if (m_exchange.matching.matches && m_finishedExchanges > 0 && !m_exchange.matching.matches(result.response)) {
        m_receivedStrayResponse = true;
        m_parser.reset(m_exchange.headRequest);
        return false;
    }
    rememberIdentity(result.response);
    const bool full = m_failedIdentities.size() >= maxFailedIdentities;
    const bool reusable = result.response.keepAlive && !moreData && !m_writing && !m_receivedStrayResponse && !full;
    ++m_finishedExchanges;
    finish(std::move(result), reusable);
    return true;
}

void client_connection::rememberIdentity(const http_response &response)
{
    const bool success = response.status >= 200 && response.status < 300;
    if (!success && !m_exchange.matching.identity.empty()) {
        m_failedIdentities.push_back(std::move(m_exchange.matching.identity));
    }
}

bool client_connection::suits(const pending_exchange &exchange) const
{
    if (m_finishedExchanges == 0) {
        return true;
    }
    const auto last = m_failedIdentities.end();
    return !exchange.matching.newConnection && std::find(m_failedIdentities.begin(), last, exchange.matching.identity) == last;
}

bool client_connection::hasUnreadData() const
{
    boost::system::error_code ignored;
    return m_finishedExchanges > 0 && m_socket.available(ignored) > 0;
}

void client_connection::connectionEnded(const boost::system::error_code &error)
{
    if (m_busy && error == boost::asio::error::eof) {
        m_parser.finishAtEof();
        if (m_parser.state() == http_parse_state::complete) {
            finishWithResponse(false);
        }
    }
    if (m_busy) {
        fail(m_parser.started() ? result_code::answer_truncated : result_code::server_connection_lost);
        return;
    }
    if (!m_closed) {
        close();
        m_pool->closedIdle(*this, error != boost::asio::error::eof);
    }
}

void client_connection::finish(http_exchange_result result, bool reusable)
{
    const auto self = shared_from_this();
    result.connection = m_number;
    m_busy = false;
    m_windowCheckAt = monotonic_time::max();
    if (m_windowClosed && reusable) {
        m_windowClosed = false;
        setUnresponsivePeerTimeout(m_unresponsivePeerTimeout);
    }
    if (!reusable) {
        close();
    }
    m_pool->finished(*this, std::exchange(m_exchange, {}), std::move(result), reusable);
}

} // namespace sycamoretray::detail
