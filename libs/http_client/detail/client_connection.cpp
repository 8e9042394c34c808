#include "http_client/detail/client_connection.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace sycamoretray::detail
{

client_connection::client_connection(const strand_type &strand, observer &pool, const http_limits &limits)
    : m_socket(strand)
    , m_pool(&pool)
    , m_parser(limits)
{
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
        boost::system::error_code ignored;
        self->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
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
    m_unparsed.clear();
    m_parser.reset(m_exchange.headRequest);
    // The buffer stays alive in the handler, because the exchange can end before the write does.
    auto wire = std::make_shared<std::string>(std::move(m_exchange.wire));
    boost::asio::async_write(m_socket, boost::asio::buffer(*wire), [self = shared_from_this(), wire](const boost::system::error_code &error, std::size_t) {
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
    finish(std::move(result), false);
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
    m_socket.async_read_some(boost::asio::buffer(m_input), [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
        self->received(error, size);
    });
}

void client_connection::received(const boost::system::error_code &error, std::size_t size)
{
    if (m_closed) {
        return;
    }
    if (error) {
        connectionEnded();
        return;
    }
    if (!m_busy) {
        // Bytes without a request: the next answer could not be told apart from them.
        close();
        m_pool->closedIdle(*this);
        return;
    }
    parseReceived({ m_input.data(), size });
    if (!m_closed) {
        readMore();
    }
}

void client_connection::parseReceived(std::string_view data)
{
    if (!m_unparsed.empty()) {
        m_unparsed.append(data);
        data = m_unparsed;
    }
    while (!data.empty() && m_parser.state() == http_parse_state::need_more) {
        const std::size_t used = m_parser.feed(data);
        data.remove_prefix(used);
        if (used == 0) {
            break;
        }
    }
    if (m_parser.state() == http_parse_state::need_more) {
        m_unparsed = std::string(data);
        return;
    }
    if (m_parser.state() == http_parse_state::failed) {
        fail(m_parser.error());
        return;
    }
    http_exchange_result result;
    result.response = m_parser.take();
    const bool reusable = result.response.keepAlive && data.empty() && !m_writing;
    m_unparsed.clear();
    finish(std::move(result), reusable);
}

void client_connection::connectionEnded()
{
    if (m_busy) {
        fail(m_parser.started() ? result_code::answer_truncated : result_code::server_connection_lost);
        return;
    }
    close();
    m_pool->closedIdle(*this);
}

void client_connection::finish(http_exchange_result result, bool reusable)
{
    const auto self = shared_from_this();
    m_busy = false;
    if (!reusable) {
        close();
    }
    m_pool->finished(*this, std::exchange(m_exchange, {}), std::move(result), reusable);
}

} // namespace sycamoretray::detail
