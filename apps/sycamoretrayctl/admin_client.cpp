#include "admin_client.h"

#include "base/result_code.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cctype>
#include <cstdio>
#include <unistd.h>

namespace sycamoretray
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr std::uint64_t maxResponseBytes = 256ULL * 1024 * 1024;

std::string operatorName()
{
    const char *user = ::getenv("USER"); // NOLINT(concurrency-mt-unsafe): single-threaded program
    return user == nullptr ? "uid-" + std::to_string(::getuid()) : user;
}

tcp::endpoint parseEndpoint(const network_address &address)
{
    const std::string &text = address.value();
    const std::size_t colon = text.rfind(':');
    std::string host = text.substr(0, colon);
    if (host.starts_with('[')) {
        host = host.substr(1, host.size() - 2);
    }
    return { boost::asio::ip::make_address(host), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))) };
}

admin_response unreachableResponse(const network_address &address, const std::string &reason)
{
    return { result_code::peer_unreachable, address.value() + ": " + reason + "; check that the instance runs and that --admin names its admin_address", {} };
}

/** Sends one request over a new connection and receives the response. */
class admin_exchange
{
public:
    admin_exchange(const network_address &address, std::chrono::milliseconds timeout)
        : m_address(address)
        , m_stream(m_context)
    {
        m_stream.expires_after(timeout);
        m_parser.body_limit(maxResponseBytes);
    }

    admin_response run(const http::request<http::string_body> &request)
    {
        m_stream.async_connect(parseEndpoint(m_address), [this, &request](beast::error_code error) {
            error ? finish(error) : write(request);
        });
        m_context.run();
        return m_error ? unreachableResponse(m_address, m_error.message()) : decodeResponse(m_parser.get());
    }

private:
    void write(const http::request<http::string_body> &request)
    {
        http::async_write(m_stream, request, [this](beast::error_code error, std::size_t) {
            error ? finish(error) : read();
        });
    }

    void read()
    {
        http::async_read(m_stream, m_buffer, m_parser, [this](beast::error_code error, std::size_t) {
            finish(error);
        });
    }

    void finish(beast::error_code error)
    {
        m_error = error;
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }

    static admin_response decodeResponse(const http::response<http::string_body> &response)
    {
        admin_response answer;
        answer.body = nlohmann::json::parse(response.body(), nullptr, false);
        if (answer.body.is_discarded()) {
            answer.body = response.body();
        }
        if (response.result_int() / 100 == 2) {
            return answer;
        }
        const bool hasErrorCode = answer.body.is_object() && answer.body.value("code", nlohmann::json()).is_number_integer();
        answer.error = hasErrorCode ? static_cast<result_code>(answer.body["code"].get<int>()) : result_code::peer_unreachable;
        answer.message = hasErrorCode ? answer.body.value("message", "") : "HTTP status " + std::to_string(response.result_int());
        return answer;
    }

    const network_address &m_address;
    boost::asio::io_context m_context;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
    beast::error_code m_error;
};

} // namespace

admin_client::admin_client(network_address address, std::string token, std::chrono::milliseconds timeout)
    : m_address(std::move(address))
    , m_token(std::move(token))
    , m_timeout(timeout)
{
}

const network_address &admin_client::address() const noexcept
{
    return m_address;
}

admin_response admin_client::get(const std::string &target) const
{
    return exchange("GET", target, "", "");
}

admin_response admin_client::put(const std::string &target, const std::string &body, std::uint64_t baseVersion) const
{
    return exchange("PUT", target, body, "\"" + std::to_string(baseVersion) + "\"");
}

admin_response admin_client::post(const std::string &target, const nlohmann::json &body) const
{
    return exchange("POST", target, body.dump(), "");
}

admin_response admin_client::exchange(const std::string &method, const std::string &target, const std::string &body, const std::string &ifMatch) const
{
    http::request<http::string_body> request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, m_address.value());
    request.set(http::field::connection, "close");
    request.set("Sycamoretray-Operator", operatorName());
    if (!m_token.empty()) {
        request.set(http::field::authorization, "Bearer " + m_token);
    }
    if (!ifMatch.empty()) {
        request.set(http::field::if_match, ifMatch);
    }
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
    }
    request.prepare_payload();
    return admin_exchange(m_address, m_timeout).run(request);
}

std::string percentEncode(const std::string &text)
{
    std::string result;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            result += static_cast<char>(c);
            continue;
        }
        char escaped[4];
        std::snprintf(escaped, sizeof escaped, "%%%02X", c);
        result += escaped;
    }
    return result;
}

} // namespace sycamoretray
