#include "server_client/lease_codec.h"
#include "server_client/server_client.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

using namespace sycamoretray;

namespace
{

constexpr std::uint64_t fuzzSeed = 20261204;

http_response answer(std::uint32_t status, http_fields fields, std::string body = "b")
{
    http_response response;
    response.status = status;
    response.fields = std::move(fields);
    response.body = std::move(body);
    return response;
}

} // namespace

// Guards against accepting the answer to another request, and against "not run" for a request that ran.
Test(server_reply, classification)
{
    const request_id id("r1");
    cr_expect_eq(classifyAnswer(answer(200, {}), id).code, result_code::answer_mismatch);
    cr_expect_eq(classifyAnswer(answer(200, { { "Sycamoretray-Request-Id", "r2" } }), id).code, result_code::answer_mismatch);
    const http_fields refused{ { "Sycamoretray-Request-Id", "r1" }, { "Sycamoretray-Outcome", "not-run" } };
    for (const std::uint32_t status : { 421U, 503U, 499U }) {
        cr_expect(classifyAnswer(answer(status, refused), id).result == attempt_result_class::refused);
    }
    cr_expect(classifyAnswer(answer(200, refused), id).result == attempt_result_class::answered);
    const attempt_result refusedWithoutOutcome = classifyAnswer(answer(503, { { "Sycamoretray-Request-Id", "r1" } }), id);
    cr_expect(refusedWithoutOutcome.result == attempt_result_class::answered);
    cr_expect(refusedWithoutOutcome.answer.fields.empty());
}

// Guards against accepting a lease from a malformed reply, and against crashes on malicious replies.
Test(server_reply, survives_mutated_lease_replies)
{
    const std::string valid
        = R"({"boot_id":"b7","home_term":12,"held_term":3,"challenge":"c","ownership_version":4,"ownership_missing":false,"running":1,"draining":false})";
    lease_reply reply;
    cr_assert_eq(decodeLeaseReply(answer(200, {}, valid), reply), result_code::ok);
    cr_expect_eq(reply.heldTerm.value(), 3U);
    cr_assert_eq(decodeLeaseReply(answer(409, {}, R"({"home_term":13,"boot_id":"b7"})"), reply), result_code::ok);
    cr_expect_not(reply.accepted);
    cr_expect_eq(decodeLeaseReply(answer(409, {}, "{}"), reply), result_code::malformed_message);
    cr_expect_eq(decodeLeaseReply(answer(500, {}, valid), reply), result_code::malformed_message);
    std::mt19937_64 random(fuzzSeed);
    for (int run = 0; run < 20000; ++run) {
        std::string text = valid;
        for (std::size_t i = 0; i < 1 + random() % 4; ++i) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        decodeLeaseReply(answer(200, {}, text), reply);
    }
}
