#include "standins/common/http_connection.h"

#include "standins/common/socket_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <utility>

namespace sycamoretray::standins
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

struct http_connection::exchange : std::enable_shared_from_this<http_connection::exchange> {
    exchange(asio::io_context &context, const std::string &address)
        : endpoint(parseAddress(address))
        , authority(address)
        , socket(context)
        , timer(context)
    {
    }

    void start(const http_request &request, std::chrono::milliseconds timeout, reply_handler replyHandler)
    {
        handler = std::move(replyHandler);
        ++sequence;
        message = {};
        message.version(11);
        message.method_string(request.method);
        message.target(request.target);
        message.set(http::field::host, authority);
        for (const auto &[name, value] : request.fields) {
            message.set(name, value);
        }
        message.body() = request.body;
        message.prepare_payload();
        timer.expires_after(timeout);
        timer.async_wait([self = shared_from_this(), current = sequence](error_code error) {
            if (!error && current == self->sequence) {
                self->finish(exchange_result::timeout);
            }
        });
        if (socket.is_open() && !peerClosed()) {
            write();
        } else {
            connect();
        }
    }

    // A keep-alive connection that the peer closed while it was idle must not be reported as a lost request.
    bool peerClosed()
    {
        char byte = 0;
        error_code error;
        socket.non_blocking(true, error);
        const std::size_t count = socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return count != 0 || error != asio::error::would_block;
    }

    void connect()
    {
        error_code ignored;
        socket.close(ignored);
        buffer.clear();
        socket.async_connect(endpoint, [self = shared_from_this(), current = sequence](error_code error) {
            if (current != self->sequence || !self->handler) {
                return;
            }
            if (error) {
                self->finish(exchange_result::refused);
                return;
            }
            self->socket.set_option(asio::ip::tcp::no_delay(true), error);
            self->write();
        });
    }

    void write()
    {
        http::async_write(socket, message, [self = shared_from_this(), current = sequence](error_code error, std::size_t) {
            if (current != self->sequence || !self->handler) {
                return;
            }
            if (error) {
                self->finish(exchange_result::closed);
            } else {
                self->read();
            }
        });
    }

    void read()
    {
        parser.emplace();
        parser->body_limit(boost::none);
        http::async_read(socket, buffer, *parser, [self = shared_from_this(), current = sequence](error_code error, std::size_t) {
            if (current != self->sequence || !self->handler) {
                return;
            }
            if (!error) {
                self->finish(exchange_result::complete);
            } else {
                self->finish(self->parser->got_some() ? exchange_result::truncated : exchange_result::closed);
            }
        });
    }

    void finish(exchange_result result)
    {
        timer.cancel();
        http_response response;
        bool keepOpen = false;
        if (result == exchange_result::complete) {
            keepOpen = parser->get().keep_alive();
            response = takeResponse();
        }
        if (!keepOpen) {
            error_code ignored;
            socket.close(ignored);
            buffer.clear();
        }
        ++sequence;
        std::exchange(handler, nullptr)(result, std::move(response));
    }

    http_response takeResponse()
    {
        http_response response;
        auto received = parser->release();
        response.status = received.result_int();
        for (const auto &field : received) {
            response.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
        response.body = std::move(received.body());
        return response;
    }

    asio::ip::tcp::endpoint endpoint;
    std::string authority;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    beast::flat_buffer buffer;
    http::request<http::string_body> message;
    std::optional<http::response_parser<http::string_body>> parser;
    reply_handler handler;
    // Incremented at the start and end of each request; a callback with another number belongs to an earlier request.
    std::uint64_t sequence = 0;
};

http_connection::http_connection(boost::asio::io_context &context, const std::string &address)
    : d(std::make_shared<exchange>(context, address))
{
}

http_connection::~http_connection()
{
    d->handler = nullptr;
    d->timer.cancel();
    error_code ignored;
    d->socket.close(ignored);
}

void http_connection::send(const http_request &request, std::chrono::milliseconds timeout, reply_handler handler)
{
    d->start(request, timeout, std::move(handler));
}

bool http_connection::busy() const
{
    return static_cast<bool>(d->handler);
}

} // namespace sycamoretray::standins
