#include "http_message/http_writer.h"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

namespace sycamoretray
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

template<class Message>
void insertFields(Message &message, std::span<const http_field> fields)
{
    for (const http_field &field : fields) {
        message.insert(field.name, field.value);
    }
}

template<bool isRequest>
void appendHeader(std::string &out, http::message<isRequest, http::empty_body> &message)
{
    http::serializer<isRequest, http::empty_body> serializer(message);
    beast::error_code ec;
    while (!serializer.is_done() && !ec) {
        serializer.next(ec, [&](beast::error_code & /*ec*/, const auto &buffers) {
            std::size_t size = 0;
            for (const boost::asio::const_buffer buffer : beast::buffers_range(buffers)) {
                out.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            serializer.consume(size);
        });
    }
}

bool statusHasNoBody(std::uint32_t status)
{
    return status == 204 || status == 304 || status < 200;
}

} // namespace

void appendRequestHead(std::string &out,
                       std::string_view method,
                       std::string_view target,
                       const http_fields &fields,
                       std::span<const http_field> extraFields,
                       std::size_t bodyBytes)
{
    http::message<true, http::empty_body> message;
    message.version(11);
    message.method_string(method);
    message.target(target);
    insertFields(message, fields);
    insertFields(message, extraFields);
    if (bodyBytes > 0 || (method != "GET" && method != "HEAD")) {
        message.set(http::field::content_length, std::to_string(bodyBytes));
    }
    appendHeader(out, message);
}

void appendRequest(std::string &out,
                   std::string_view method,
                   std::string_view target,
                   const http_fields &fields,
                   std::span<const http_field> extraFields,
                   std::string_view body)
{
    appendRequestHead(out, method, target, fields, extraFields, body.size());
    out.append(body);
}

bool appendResponseHead(std::string &out, const http_response &response, std::span<const http_field> extraFields, bool headRequest, bool keepAlive)
{
    http::message<false, http::empty_body> message;
    message.version(11);
    message.result(response.status);
    insertFields(message, response.fields);
    insertFields(message, extraFields);
    if (!keepAlive) {
        message.set(http::field::connection, "close");
    }
    const bool withBody = !statusHasNoBody(response.status) && !headRequest;
    if (withBody) {
        message.set(http::field::content_length, std::to_string(response.body.size()));
    }
    appendHeader(out, message);
    return withBody;
}

} // namespace sycamoretray
