#include "http_message/http_parser.h"
#include "http_message/http_writer.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace sycamoretray;

namespace
{

constexpr std::uint64_t fuzzSeed = 20261204;

/** Feeds @p text in pieces of random size and calls @p taken with each complete message. Stops at the first failure. */
template<class Parser, class Taken>
void feedInPieces(Parser &parser, const std::string &text, std::mt19937_64 &random, Taken taken)
{
    std::string buffer;
    std::size_t next = 0;
    while (next < text.size() && parser.state() != http_parse_state::failed) {
        const std::size_t piece = std::min(text.size() - next, 1 + random() % 40);
        buffer.append(text, next, piece);
        next += piece;
        while (!buffer.empty() && parser.state() == http_parse_state::need_more) {
            const std::size_t used = parser.feed(buffer);
            cr_assert_leq(used, buffer.size());
            buffer.erase(0, used);
            if (parser.state() == http_parse_state::complete) {
                taken(parser.take());
            } else if (used == 0) {
                break;
            }
        }
    }
}

result_code requestError(const std::string &text)
{
    http_request_parser parser(http_limits{ 4096, 1000, 20 });
    std::mt19937_64 random(fuzzSeed);
    feedInPieces(parser, text, random, [](const http_request &) {});
    return parser.error();
}

http_response_parser parseResponse(const std::string &text, bool headRequest = false, const http_limits &limits = {})
{
    http_response_parser parser(limits);
    parser.reset(headRequest);
    std::size_t position = 0;
    while (position < text.size() && parser.state() == http_parse_state::need_more) {
        const std::size_t used = parser.feed(std::string_view(text).substr(position));
        position += used;
        if (used == 0) {
            break;
        }
    }
    return parser;
}

} // namespace

// Guards against request smuggling: two parsers must never interpret the length of a request differently.
Test(http_request_parser, refuses_ambiguous_length)
{
    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
    const std::vector<std::string> headers{ "Content-Length: 3\r\nContent-Length: 3\r\n",
                                            "Content-Length: 3\r\nContent-Length: 4\r\n",
                                            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                                            "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
                                            "Transfer-Encoding: gzip\r\n",
                                            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                                            "Content-Length: +3\r\n",
                                            "Content-Length : 3\r\n",
                                            "Content-Length: 3, 3\r\n" };
    for (const std::string &header : headers) {
        cr_expect_eq(requestError(start + header + "\r\nabc"), result_code::malformed_request, "%s", header.c_str());
    }
}

// Guards against trailer fields that bypass the checks made on the header.
Test(http_request_parser, drops_trailer_fields)
{
    http_request_parser parser(http_limits{});
    std::mt19937_64 random(fuzzSeed);
    std::vector<http_request> requests;
    feedInPieces(
        parser, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nSycamoretray-Key: k\r\n\r\n", random, [&](http_request request) {
            requests.push_back(std::move(request));
        });
    cr_assert_eq(requests.size(), 1U);
    cr_expect(requests[0].body == "abc");
    cr_expect_null(findField(requests[0].fields, "Sycamoretray-Key"));
}

// Guards against unbounded memory use by one caller through the header, the number of fields, or either form of body.
Test(http_request_parser, enforces_limits)
{
    cr_expect_eq(requestError("GET /" + std::string(5000, 'a') + " HTTP/1.1\r\n\r\n"), result_code::header_too_large);
    std::string fields = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 21; ++i) {
        fields += "A: b\r\n";
    }
    cr_expect_eq(requestError(fields + "\r\n"), result_code::header_too_large);
    cr_expect_eq(requestError("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"), result_code::body_too_large);
    std::string chunks = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 11; ++i) {
        chunks += "64\r\n" + std::string(100, 'x') + "\r\n";
    }
    cr_expect_eq(requestError(chunks), result_code::body_too_large);
}

// Guards against crashes and endless loops on malformed input, and against results that depend on how the input is split.
Test(http_request_parser, survives_mutated_requests)
{
    std::mt19937_64 random(fuzzSeed);
    const std::string valid
        = "POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhelloPOST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
    for (int run = 0; run < 20000; ++run) {
        std::string text = valid;
        const std::size_t changes = random() % 4;
        for (std::size_t i = 0; i < changes; ++i) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        http_request_parser parser(http_limits{ 1024, 64, 10 });
        std::size_t count = 0;
        feedInPieces(parser, text, random, [&](const http_request &request) {
            ++count;
            cr_assert_leq(request.body.size(), 64U);
        });
        cr_assert(changes > 0 || count == 2, "run %d seed %lu", run, fuzzSeed);
    }
}

// Guards against accepting a response truncated at any length as complete.
Test(http_response_parser, never_completes_a_truncated_answer)
{
    const std::vector<std::string> answers{ "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" };
    for (const std::string &answer : answers) {
        for (std::size_t length = 0; length < answer.size(); ++length) {
            cr_expect_neq(parseResponse(answer.substr(0, length)).state(), http_parse_state::complete, "%zu bytes", length);
        }
        http_response_parser parser = parseResponse(answer);
        cr_assert_eq(parser.state(), http_parse_state::complete);
        cr_expect(parser.take().body == "hello");
    }
    cr_expect_eq(parseResponse("HTTP/1.1 200 OK\r\n\r\nhello").error(), result_code::answer_truncated);
}

// Guards against a response that ends within its head and is taken for one whose body is delimited by the end of the connection.
Test(http_response_parser, never_completes_a_truncated_head)
{
    http_limits limits;
    limits.allowCloseDelimitedBody = true;
    for (const char *framing : { "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", "" }) {
        const std::string head = std::string("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n") + framing + "\r\n";
        for (std::size_t length = 0; length <= head.size(); ++length) {
            for (const bool headRequest : { false, true }) {
                http_response_parser parser = parseResponse(head.substr(0, length), headRequest, limits);
                parser.finishAtEof();
                const bool complete = headRequest && length == head.size();
                cr_expect_eq(parser.state() == http_parse_state::complete, complete, "%s%zu bytes", framing, length);
            }
        }
    }
    http_response_parser parser = parseResponse("HTTP/1.1 200 OK\r\n\r\nhello", false, limits);
    parser.finishAtEof();
    cr_expect_eq(parser.state(), http_parse_state::complete);
    parser = parseResponse("HTTP/1.1 503 Service Unavailable\r\n\r\n", false, limits);
    parser.finishAtEof();
    cr_expect_eq(parser.state(), http_parse_state::complete);
}

// Guards against a response of an endpoint in trouble whose status is no final status, and that reaches the caller as an answer.
Test(http_response_parser, rejects_a_status_without_meaning)
{
    http_limits limits;
    limits.allowCloseDelimitedBody = true;
    for (const char *status : { "000", "001", "099", "600", "999", "1000", "20", "-20", "abc", "" }) {
        for (const char *framing : { "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
            const std::string body = framing[0] == 'T' ? "5\r\nhello\r\n0\r\n\r\n" : "hello";
            http_response_parser parser = parseResponse(std::string("HTTP/1.1 ") + status + " Reason\r\n" + framing + "\r\n" + body, false, limits);
            parser.finishAtEof();
            cr_expect_eq(parser.state(), http_parse_state::failed, "status %s, %s", status, framing);
        }
    }
    for (const char *status : { "200", "404", "599" }) {
        http_response_parser parser = parseResponse(std::string("HTTP/1.1 ") + status + " Reason\r\nContent-Length: 0\r\n\r\n");
        cr_expect_eq(parser.state(), http_parse_state::complete, "status %s", status);
    }
}

// Guards against interim responses without end, which would hold a request until its deadline.
Test(http_response_parser, gives_up_after_some_interim_responses)
{
    std::string responses;
    constexpr int tooMany = 8;
    for (int i = 0; i < tooMany; ++i) {
        responses += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    cr_expect_eq(parseResponse(responses + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").state(), http_parse_state::failed);
}

// Guards against callers that set Sycamoretray fields, also spelled with underscores, which some servers treat as hyphens.
Test(http_message, removes_own_and_connection_fields)
{
    http_fields fields{ { "sycamoretray-key", "k" },        { "Sycamoretray_Home_Term", "1" },
                        { "Connection", "close, X-Hop" },   { "X-Hop", "1" },
                        { "Transfer-Encoding", "chunked" }, { "Accept", "*/*" } };
    removeConnectionFields(fields);
    removeOwnFields(fields);
    const http_fields expected{ { "Accept", "*/*" } };
    cr_expect(fields == expected);
}

namespace
{

/**
 * Feeds @p start and then @p piece repeatedly, keeping unparsed bytes as a connection does. Returns the number of unparsed bytes
 * when the parser failed, or nothing if it did not fail within @p maxBytes bytes.
 */
template<class Parser>
std::optional<std::size_t> unparsedBytesAtFailure(Parser &parser, std::string start, const std::string &piece, std::size_t maxBytes)
{
    std::string unparsed = std::move(start);
    for (std::size_t total = 0; total < maxBytes; total += piece.size()) {
        while (!unparsed.empty() && parser.state() == http_parse_state::need_more) {
            const std::size_t used = parser.feed(unparsed);
            unparsed.erase(0, used);
            if (used == 0) {
                break;
            }
        }
        if (parser.state() == http_parse_state::failed) {
            return unparsed.size();
        }
        unparsed += piece;
    }
    return std::nullopt;
}

/** Checks that a parser rejects each stream, given as a prefix and the text repeated after it. */
template<class Parser>
void expectRejected(const std::vector<std::pair<std::string, std::string>> &streams, const http_limits &limits)
{
    for (std::size_t i = 0; i < streams.size(); ++i) {
        Parser parser(limits);
        const auto kept = unparsedBytesAtFailure(parser, streams[i].first, streams[i].second, 1024UL * 1024);
        cr_assert(kept.has_value(), "stream %zu was not rejected", i);
        cr_expect(*kept <= limits.headerBytes + 2048, "stream %zu: %zu bytes kept", i, *kept);
    }
}

} // namespace

// Guards against unbounded memory use by an endpoint that never ends its response: in the start line, in a field, between chunks, in
// the trailer, and in the body itself. The parser must fail before the unparsed bytes exceed its limits.
Test(http_response_parser, bytes_without_end_are_given_up)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> streams{
        { "", std::string(1000, 'x') },
        { "HTTP/1.1 200 OK\r\nField: ", std::string(1000, 'v') },
        { "HTTP/1.1 200 OK\r\n", "Field: value\r\n" },
        { "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "", "\r\n" },
        { chunked + "5", std::string(1000, '0') },
        { chunked + "5;ext=", std::string(1000, 'e') },
        { chunked + "0\r\n", "Trailer: value\r\n" },
        { chunked + "0\r\nTrailer: ", std::string(1000, 't') },
        { chunked, "400\r\n" + std::string(1024, 'b') + "\r\n" },
        { "HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'b') },
    };
    http_limits limits{ 4096, 64UL * 1024, 50 };
    limits.allowCloseDelimitedBody = true;
    expectRejected<http_response_parser>(streams, limits);
}

// Guards against unbounded memory use by a caller that never ends its request.
Test(http_request_parser, bytes_without_end_are_given_up)
{
    const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> streams{
        { "", std::string(1000, 'x') },
        { "GET /", std::string(1000, 'p') },
        { "GET / HTTP/1.1\r\n", "Field: value\r\n" },
        { chunked + "5;ext=", std::string(1000, 'e') },
        { chunked + "0\r\n", "Trailer: value\r\n" },
        { chunked, "400\r\n" + std::string(1024, 'b') + "\r\n" },
    };
    const http_limits limits{ 4096, 64UL * 1024, 50 };
    expectRejected<http_request_parser>(streams, limits);
}

// Guards against a failing assertion in the HTTP library, in builds with assertions, that ends the process when the last chunk of a
// body arrives byte by byte, with and without a chunk before it.
Test(http_request_parser, chunked_end_may_arrive_byte_by_byte)
{
    for (const std::string body : { "0\r\n\r\n", "0\r\nT: v\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n" }) {
        http_request_parser parser(http_limits{});
        std::string unparsed;
        for (const char byte : "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body) {
            unparsed += byte;
            std::size_t used = 1;
            while (used > 0 && !unparsed.empty() && parser.state() == http_parse_state::need_more) {
                used = parser.feed(unparsed);
                unparsed.erase(0, used);
            }
        }
        cr_expect_eq(parser.state(), http_parse_state::complete);
        cr_expect(unparsed.empty());
    }
}
