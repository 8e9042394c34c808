#include "standins/common/http_server.h"

#include "standins/common/socket_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <glog/logging.h>

#include <utility>

namespace sycamoretray::standins
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;

http_request fromBeast(http::request<http::string_body> message)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

class session : public std::enable_shared_from_this<session>
{
public:
    session(asio::ip::tcp::socket socket, std::shared_ptr<request_handler> handler)
        : m_socket(std::move(socket))
        , m_handler(std::move(handler))
    {
    }

    void readNext()
    {
        m_parser.emplace();
        m_parser->body_limit(maxBodyBytes);
        http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](error_code error, std::size_t) {
            if (!error) {
                self->handle();
            }
        });
    }

private:
    void handle()
    {
        m_keepAlive = m_parser->get().keep_alive();
        (*m_handler)(fromBeast(m_parser->release()), [self = shared_from_this()](std::optional<http_response> response) {
            if (response) {
                self->write(std::move(*response));
            } else {
                self->close();
            }
        });
    }

    void write(http_response response)
    {
        m_message = {};
        m_message.version(11);
        m_message.result(response.status);
        m_message.keep_alive(m_keepAlive);
        for (const auto &[name, value] : response.fields) {
            m_message.set(name, value);
        }
        m_message.body() = std::move(response.body);
        m_message.prepare_payload();
        http::async_write(m_socket, m_message, [self = shared_from_this()](error_code error, std::size_t) {
            if (error || !self->m_keepAlive) {
                self->close();
            } else {
                self->readNext();
            }
        });
    }

    void close()
    {
        error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
    }

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<request_handler> m_handler;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_message;
    bool m_keepAlive = true;
};

} // namespace

struct http_server::listener : std::enable_shared_from_this<http_server::listener> {
    listener(asio::io_context &context, const std::string &address, request_handler requestHandler)
        : acceptor(context, parseAddress(address))
        , handler(std::make_shared<request_handler>(std::move(requestHandler)))
    {
    }

    void acceptNext()
    {
        acceptor.async_accept([self = shared_from_this()](error_code error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                LOG(WARNING) << "event=accept_failed error=\"" << error.message() << '"';
            } else {
                socket.set_option(asio::ip::tcp::no_delay(true), error);
                std::make_shared<session>(std::move(socket), self->handler)->readNext();
            }
            self->acceptNext();
        });
    }

    asio::ip::tcp::acceptor acceptor;
    std::shared_ptr<request_handler> handler;
};

http_server::http_server(boost::asio::io_context &context, const std::string &address, request_handler handler)
    : d(std::make_shared<listener>(context, address, std::move(handler)))
{
    d->acceptNext();
}

http_server::~http_server()
{
    error_code ignored;
    d->acceptor.close(ignored);
}

} // namespace sycamoretray::standins
