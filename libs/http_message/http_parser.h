#pragma once

#include "base/result_code.h"
#include "http_message/http_message.h"
#include "http_message/resource_budget.h"

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
    /** Accept responses without Content-Length or chunked coding, whose body is delimited by the close of the connection. */
    bool allowCloseDelimitedBody = false;
    friend bool operator==(const http_limits &, const http_limits &) = default;
};

enum class http_parse_state {
    need_more,
    complete,
    failed,
};

/**
 * Incremental parser for untrusted requests. To prevent request smuggling, it rejects every message whose length two parsers could
 * interpret differently: more than one Content-Length, Content-Length with Transfer-Encoding, and codings other than chunked.
 *
 * Thread safety: none.
 */
class http_request_parser
{
public:
    /** @param budget  counts the memory of bodies; may be null */
    explicit http_request_parser(http_limits limits, std::shared_ptr<resource_budget> budget = nullptr);
    ~http_request_parser();
    http_request_parser(http_request_parser &&) noexcept;
    http_request_parser &operator=(http_request_parser &&) noexcept;

    /** Changes the limits of the message that is being parsed and of later ones. Precondition: no byte of the message was passed yet. */
    void setLimits(const http_limits &limits);

    /**
     * Takes memory for @p bytes of a body that has begun; does nothing before. Returns false if there is none.
     *
     * @param asker  see resource_budget::tryTake()
     */
    bool reserveBody(std::size_t bytes, reservation_purpose purpose, const resource_holder *asker);

    /** Returns the length of the body that the header declares; 0 if it is not known. Precondition: headerComplete(). */
    std::uint64_t declaredBytes() const noexcept;

    /** Returns the memory of the message without its body. */
    std::uint64_t headerMemory() const noexcept;

    /** Returns the memory that is reserved for its body. */
    std::uint64_t bodyMemory() const noexcept;

    /** Releases the memory that is reserved for the body, although it is kept. */
    void releaseReservations() noexcept;

    /**
     * Parses @p data and returns the number of bytes consumed. Pass the remaining bytes again, followed by more data.
     * Precondition: state() is need_more.
     */
    std::size_t feed(std::string_view data);

    http_parse_state state() const noexcept;

    /** malformed_request, header_too_large or body_too_large if state() is failed. */
    result_code error() const noexcept;

    bool headerComplete() const noexcept;

    /** True if the sender waits for "100 Continue" before it sends the body. */
    bool expectsContinue() const noexcept;

    /** Returns the message and prepares for the next one. Precondition: state() is complete. */
    http_request take();

private:
    struct impl;
    std::unique_ptr<impl> d;
};

/**
 * Incremental parser for responses. A response without Content-Length or chunked coding fails with answer_truncated unless the
 * limits allow it, because a truncated body could not be detected.
 *
 * Thread safety: none.
 */
class http_response_parser
{
public:
    /** @param budget  counts the memory of bodies; may be null */
    explicit http_response_parser(http_limits limits, std::shared_ptr<resource_budget> budget = nullptr);
    ~http_response_parser();
    http_response_parser(http_response_parser &&) noexcept;
    http_response_parser &operator=(http_response_parser &&) noexcept;

    /** Prepares for the response to a new request. @param headRequest  the response has no body, whatever its header says */
    void reset(bool headRequest);

    /** Like http_request_parser::reserveBody(), for an answer. */
    bool reserveBody(std::size_t bytes);

    /** Like http_request_parser::feed(). Skips a few interim responses (status 1xx); more are an error. */
    std::size_t feed(std::string_view data);

    http_parse_state state() const noexcept;

    /** malformed_message, answer_truncated, header_too_large or body_too_large if state() is failed. */
    result_code error() const noexcept;

    /**
     * Call when the peer closes the connection. Completes a response whose body is delimited by the close, unless it is a success and
     * no byte of its body has arrived.
     */
    void finishAtEof();

    /** True once a byte of the response has been received. */
    bool started() const noexcept;

    /** Returns the message. Precondition: state() is complete. */
    http_response take();

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
