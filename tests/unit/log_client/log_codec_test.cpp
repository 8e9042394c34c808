#include "log_client/log_codec.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

using namespace sycamoretray;

namespace
{

constexpr std::uint64_t fuzzSeed = 20261204;

http_response reply(std::uint32_t status, std::string body)
{
    http_response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

} // namespace

// Guards against records that are changed by encoding and decoding, and against text that is not canonical base64.
Test(log_codec, base64_round_trip_and_rejection_of_invalid_text)
{
    std::mt19937_64 random(fuzzSeed);
    for (std::size_t size = 0; size < 200; ++size) {
        std::string data(size, '\0');
        for (char &c : data) {
            c = static_cast<char>(random());
        }
        std::string decoded;
        cr_assert(decodeBase64(encodeBase64(data), decoded));
        cr_assert(decoded == data);
    }
    std::string decoded;
    for (const char *bad : { "abc", "ab=c", "====", "ab c", "YQ=\n", "YR==" }) {
        cr_expect_not(decodeBase64(bad, decoded), "%s", bad);
    }
}

// Guards against a replay that skips records because a reply does not contain them.
Test(log_codec, rejects_replies_with_gaps)
{
    const std::string good = R"({"records":[{"offset":5,"data":"YQ=="},{"offset":6,"data":"YQ=="}],"earliest_offset":1,"next_offset":7})";
    cr_expect_eq(decodeRead(reply(200, good), log_offset(5)).records.size(), 2U);
    cr_expect_eq(decodeRead(reply(200, good), log_offset(4)).code, result_code::log_unavailable);
    const std::string gap = R"({"records":[{"offset":5,"data":"YQ=="},{"offset":7,"data":"YQ=="}],"earliest_offset":1,"next_offset":8})";
    cr_expect_eq(decodeRead(reply(200, gap), log_offset(5)).code, result_code::log_unavailable);
    const std::string beyond = R"({"records":[{"offset":5,"data":"YQ=="}],"earliest_offset":1,"next_offset":5})";
    cr_expect_eq(decodeRead(reply(200, beyond), log_offset(5)).code, result_code::log_unavailable);
    cr_expect_eq(decodeRead(reply(410, R"({"earliest_offset":9,"next_offset":18})"), log_offset(5)).code, result_code::offset_expired);
}

// Guards against an append that is reported as failed, and then retried, although it may have taken effect.
Test(log_codec, append_fails_only_if_the_log_says_so)
{
    cr_expect_eq(decodeAppend(reply(200, R"({"first_offset":17})")).first, log_offset(17));
    cr_expect_eq(decodeAppend(reply(429, "")).code, result_code::append_failed);
    cr_expect_eq(decodeAppend(reply(503, "")).code, result_code::append_failed);
    for (const std::uint32_t status : { 200U, 201U, 400U, 404U, 500U, 502U, 504U }) {
        cr_expect_eq(decodeAppend(reply(status, "no JSON")).code, result_code::append_unknown, "%u", status);
    }
}

// Guards against crashes on malformed replies, and against records from a reply that is not valid.
Test(log_codec, survives_mutated_replies)
{
    std::mt19937_64 random(fuzzSeed);
    const std::string valid = R"({"records":[{"offset":5,"data":"YWJjZA=="}],"earliest_offset":1,"next_offset":6,"first_offset":3})";
    for (int run = 0; run < 20000; ++run) {
        std::string text = valid;
        for (std::size_t i = 0; i < 1 + random() % 4; ++i) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        const log_read_reply read = decodeRead(reply(200, text), log_offset(5));
        cr_assert(read.code == result_code::ok || read.records.empty(), "run %d seed %lu", run, fuzzSeed);
        decodeAppend(reply(200, text));
    }
}
