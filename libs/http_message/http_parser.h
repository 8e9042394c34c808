#pragma once

#include "base/result_code.h"
#include "http_message/http_message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace sycamoretray
{

struct http_limits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 16ULL * 1024 * 1024;
    std::uint32_t fields = 100;
    /** Accept responses without Content-Length or chunked coding, whose body ends with the connection. */
    bool bodyMayEndWithConnection = false;
};

enum class http_parse_state {
    need_more,
    complete,
    failed,
};

/**
 * Incremental parser of requests from outside. It refuses every message whose end two parsers could see at different
 * places: more than one Content-Length, Content-Length with Transfer-Encoding, and codings other than chunked.
 *
 * Thread safety: none.
 */
class http_request_parser
{
public:
    explicit http_request_parser(http_limits limits);
    ~http_request_parser();
    http_request_parser(http_request_parser &&) noexcept;
    http_request_parser &operator=(http_request_parser &&) noexcept;

    /**
     * Parses @p data and returns how many bytes were used. Bytes that were not used are passed again with more data.
     * Precondition: state() is need_more.
     */
    std::size_t feed(std::string_view data);

    http_parse_state state() const noexcept;

    /** malformed_request, header_too_large or body_too_large if state() is failed. */
    result_code error() const noexcept;

    bool headerComplete() const noexcept;

    /** The sender waits for "100 Continue" before it sends the body. */
    bool expectsContinue() const noexcept;

    /** Returns the message and gets ready for the next one. Precondition: state() is complete. */
    http_request take();

private:
    struct impl;
    std::unique_ptr<impl> d;
};

/**
 * Incremental parser of responses. A response without Content-Length or chunked coding fails with answer_truncated unless the
 * limits allow it, because its completeness cannot be checked.
 *
 * Thread safety: none.
 */
class http_response_parser
{
public:
    explicit http_response_parser(http_limits limits);
    ~http_response_parser();
    http_response_parser(http_response_parser &&) noexcept;
    http_response_parser &operator=(http_response_parser &&) noexcept;

    /** Gets ready for the response to a new request. @param headRequest  the response has no body whatever its header says */
    void reset(bool headRequest);

    /** As http_request_parser::feed(). Responses with a 1xx status are skipped. */
    std::size_t feed(std::string_view data);

    http_parse_state state() const noexcept;

    /** malformed_message, answer_truncated, header_too_large or body_too_large if state() is failed. */
    result_code error() const noexcept;

    /** The connection was closed in order. Completes a response whose body ends with the connection. */
    void endOfConnection();

    /** True once a byte of the response has been seen. */
    bool started() const noexcept;

    /** Returns the message. Precondition: state() is complete. */
    http_response take();

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
