#include "http_message/http_parser.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace sycamoretray
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

template<bool isRequest>
using message_type = std::conditional_t<isRequest, http_request, http_response>;

/** Stores a message directly in http_request or http_response, without Beast's field container. */
template<bool isRequest>
class message_parser final : public http::basic_parser<isRequest>
{
public:
    message_parser(const http_limits &limits, std::shared_ptr<resource_budget> budget)
        : m_limits(limits)
        , m_budget(std::move(budget))
    {
        this->eager(true);
        this->header_limit(limits.headerBytes);
        this->body_limit(limits.bodyBytes);
    }

    message_type<isRequest> message;
    bool expectsContinue = false;
    bool started = false;
    /** Length that the header declares; 0 if it is not known. */
    std::uint64_t declaredBytes = 0;

    bool reserveBody(std::size_t bytes, reservation_purpose purpose, const resource_holder *asker)
    {
        if (!m_headerDone) {
            return true;
        }
        if (declaredBytes > 0) {
            bytes = std::min(bytes, static_cast<std::size_t>(declaredBytes) - message.body.size());
        }
        return message.body.tryReserve(bytes, static_cast<std::size_t>(declaredBytes), m_budget, purpose, asker);
    }

    std::uint64_t headerMemory() const noexcept
    {
        std::uint64_t bytes = memoryOf(message.fields);
        if constexpr (isRequest) {
            bytes += message.target.capacity();
        }
        return bytes;
    }

private:
    void on_request_impl(http::verb /*method*/, beast::string_view method, beast::string_view target, int /*version*/, beast::error_code & /*ec*/) override
    {
        if constexpr (isRequest) {
            message.method.assign(method.data(), method.size());
            message.target.assign(target.data(), target.size());
        }
    }

    void on_response_impl(int code, beast::string_view /*reason*/, int /*version*/, beast::error_code &ec) override
    {
        constexpr int minStatus = 100;
        constexpr int maxStatus = 599;
        // Beast accepts any three digits. Other numbers have no meaning to a caller, who could take them for an answer.
        if (code < minStatus || code > maxStatus) {
            ec = http::error::bad_status;
            return;
        }
        if constexpr (!isRequest) {
            message.status = static_cast<std::uint32_t>(code);
        }
    }

    void on_field_impl(http::field field, beast::string_view name, beast::string_view value, beast::error_code &ec) override
    {
        if (m_headerDone) {
            // Trailer fields are dropped because they would bypass the checks made on the header.
            return;
        }
        if (message.fields.size() >= m_limits.fields) {
            ec = http::error::header_limit;
            return;
        }
        // Beast accepts a list of equal lengths, such as "3, 3", as one length; other parsers do not.
        if (field == http::field::content_length && value.find_first_not_of("0123456789") != beast::string_view::npos) {
            ec = http::error::bad_content_length;
            return;
        }
        m_contentLengthFields += field == http::field::content_length ? 1 : 0;
        m_transferEncodingFields += field == http::field::transfer_encoding ? 1 : 0;
        if (field == http::field::expect && beast::iequals(value, "100-continue")) {
            expectsContinue = true;
        }
        message.fields.push_back({ std::string(name.data(), name.size()), std::string(value.data(), value.size()) });
    }

    void on_header_impl(beast::error_code &ec) override
    {
        m_headerDone = true;
        declaredBytes = this->content_length().value_or(0);
        const bool unsupportedCoding = m_transferEncodingFields > 0 && !this->chunked();
        if (m_contentLengthFields + m_transferEncodingFields > 1 || unsupportedCoding) {
            ec = http::error::bad_content_length;
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, beast::error_code & /*ec*/) override
    {
    }

    std::size_t on_body_impl(beast::string_view body, beast::error_code & /*ec*/) override
    {
        message.body.append({ body.data(), body.size() }, m_budget);
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/, beast::error_code & /*ec*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast::string_view body, beast::error_code &ec) override
    {
        if (message.body.size() + body.size() > m_limits.bodyBytes) {
            ec = http::error::body_limit;
            return 0;
        }
        message.body.append({ body.data(), body.size() }, m_budget);
        return body.size();
    }

    void on_finish_impl(beast::error_code & /*ec*/) override
    {
    }

    http_limits m_limits;
    std::shared_ptr<resource_budget> m_budget;
    std::uint32_t m_contentLengthFields = 0;
    std::uint32_t m_transferEncodingFields = 0;
    bool m_headerDone = false;
};

template<bool isRequest>
struct parser_state {
    http_limits limits;
    std::shared_ptr<resource_budget> budget;
    std::optional<message_parser<isRequest>> parser;
    http_parse_state state = http_parse_state::need_more;
    result_code error = result_code::ok;

    parser_state(const http_limits &givenLimits, std::shared_ptr<resource_budget> givenBudget)
        : limits(givenLimits)
        , budget(std::move(givenBudget))
    {
        restart();
    }

    void restart()
    {
        parser.emplace(limits, budget);
        state = http_parse_state::need_more;
        error = result_code::ok;
    }

    void fail(const beast::error_code &ec)
    {
        state = http_parse_state::failed;
        if (ec == http::error::header_limit) {
            error = result_code::header_too_large;
        } else if (ec == http::error::body_limit) {
            error = result_code::body_too_large;
        } else {
            error = isRequest ? result_code::malformed_request : result_code::malformed_message;
        }
    }

    std::size_t feed(std::string_view data)
    {
        if (data.empty()) {
            return 0;
        }
        parser->started = true;
        // Beast fails an assertion if it is called again with fewer bytes of the last chunk. The shortest end of a chunked
        // body is "0\r\n\r\n".
        constexpr std::size_t minChunkedEndBytes = 5;
        if (parser->is_header_done() && parser->chunked() && data.size() < minChunkedEndBytes) {
            return 0;
        }
        beast::error_code ec;
        const std::size_t used = parser->put(boost::asio::const_buffer(data.data(), data.size()), ec);
        if (ec && ec != http::error::need_more) {
            fail(ec);
            return used;
        }
        if (!isRequest && !limits.allowCloseDelimitedBody && parser->is_header_done() && parser->need_eof()) {
            state = http_parse_state::failed;
            error = result_code::answer_truncated;
        } else if (parser->is_done()) {
            parser->message.keepAlive = parser->keep_alive();
            state = http_parse_state::complete;
        } else if (data.size() - used > limits.headerBytes) {
            // Body data is consumed as it arrives, so the rest is an incomplete line of the header or of a chunk.
            fail(http::error::header_limit);
        }
        return used;
    }
};

} // namespace

struct http_request_parser::impl : parser_state<true> {
    using parser_state::parser_state;
};

http_request_parser::http_request_parser(http_limits limits, std::shared_ptr<resource_budget> budget)
    : d(std::make_unique<impl>(limits, std::move(budget)))
{
}

http_request_parser::~http_request_parser() = default;
http_request_parser::http_request_parser(http_request_parser &&) noexcept = default;
http_request_parser &http_request_parser::operator=(http_request_parser &&) noexcept = default;

void http_request_parser::setLimits(const http_limits &limits)
{
    if (limits != d->limits) {
        d->limits = limits;
        d->restart();
    }
}

bool http_request_parser::reserveBody(std::size_t bytes, reservation_purpose purpose, const resource_holder *asker)
{
    return d->parser->reserveBody(bytes, purpose, asker);
}

std::uint64_t http_request_parser::declaredBytes() const noexcept
{
    return d->parser->declaredBytes;
}

std::uint64_t http_request_parser::headerMemory() const noexcept
{
    return d->parser->headerMemory();
}

std::uint64_t http_request_parser::bodyMemory() const noexcept
{
    return d->parser->message.body.reservedBytes();
}

void http_request_parser::releaseReservations() noexcept
{
    d->parser->message.body.releaseReservations();
}

std::size_t http_request_parser::feed(std::string_view data)
{
    return d->feed(data);
}

http_parse_state http_request_parser::state() const noexcept
{
    return d->state;
}

result_code http_request_parser::error() const noexcept
{
    return d->error;
}

bool http_request_parser::headerComplete() const noexcept
{
    return d->parser->is_header_done();
}

bool http_request_parser::expectsContinue() const noexcept
{
    return d->parser->expectsContinue;
}

http_request http_request_parser::take()
{
    http_request result = std::move(d->parser->message);
    d->restart();
    return result;
}

struct http_response_parser::impl : parser_state<false> {
    using parser_state::parser_state;
    bool headRequest = false;
    std::uint32_t interimResponses = 0;
};

http_response_parser::http_response_parser(http_limits limits, std::shared_ptr<resource_budget> budget)
    : d(std::make_unique<impl>(limits, std::move(budget)))
{
}

http_response_parser::~http_response_parser() = default;
http_response_parser::http_response_parser(http_response_parser &&) noexcept = default;
http_response_parser &http_response_parser::operator=(http_response_parser &&) noexcept = default;

void http_response_parser::reset(bool headRequest)
{
    d->headRequest = headRequest;
    d->interimResponses = 0;
    d->restart();
    d->parser->skip(headRequest);
}

bool http_response_parser::reserveBody(std::size_t bytes)
{
    return d->parser->reserveBody(bytes, reservation_purpose::answer, nullptr);
}

std::size_t http_response_parser::feed(std::string_view data)
{
    constexpr std::uint32_t maxInterimResponses = 4;
    std::size_t used = d->feed(data);
    while (d->state == http_parse_state::complete && d->parser->message.status < 200 && d->interimResponses < maxInterimResponses) {
        ++d->interimResponses;
        d->restart();
        d->parser->skip(d->headRequest);
        used += d->feed(data.substr(used));
    }
    if (d->state == http_parse_state::complete && d->parser->message.status < 200) {
        d->fail(http::error::bad_status);
    }
    return used;
}

http_parse_state http_response_parser::state() const noexcept
{
    return d->state;
}

result_code http_response_parser::error() const noexcept
{
    return d->error;
}

void http_response_parser::finishAtEof()
{
    if (d->state != http_parse_state::need_more || !d->parser->is_header_done() || !d->parser->need_eof()) {
        return;
    }
    beast::error_code ec;
    d->parser->put_eof(ec);
    if (ec) {
        d->fail(ec);
        return;
    }
    http_response &message = d->parser->message;
    if (message.status < 300 && message.body.empty()) {
        // Servers frame an empty body with a length, so that this one stopped before the body.
        d->state = http_parse_state::failed;
        d->error = result_code::answer_truncated;
        return;
    }
    message.keepAlive = false;
    d->state = http_parse_state::complete;
}

bool http_response_parser::started() const noexcept
{
    return d->parser->started;
}

http_response http_response_parser::take()
{
    return std::move(d->parser->message);
}

} // namespace sycamoretray
