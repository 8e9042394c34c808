#include "sycamoretrayd/gateway/forwarding_codec.h"

#include "platform/request_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace sycamoretray
{

namespace
{

// Marks a forwarded request; the value is the number of endpoints that may have run it.
constexpr std::string_view attemptsField = "Sycamoretray-Forwarded-Attempts";
// Version of the configuration by which the request was accepted.
constexpr std::string_view configurationField = "Sycamoretray-Forwarded-Configuration";
// Marks an answer that the instance generated itself; the value is its result code.
constexpr std::string_view resultField = "Sycamoretray-Forward-Result";
// In each answer to a forwarded request: its id.
constexpr std::string_view requestField = "Sycamoretray-Forward-Request";

void removeFields(http_fields &fields, std::string_view name)
{
    std::erase_if(fields, [name](const http_field &field) {
        return equalFieldNames(field.name, name);
    });
}

/** Removes the fields named @p name and returns the number in the last one. Earlier ones may be the caller's. */
template<class Number>
std::optional<Number> takeNumber(http_fields &fields, std::string_view name)
{
    std::optional<Number> number;
    for (const http_field &field : fields) {
        if (equalFieldNames(field.name, name)) {
            Number value = 0;
            const char *end = field.value.data() + field.value.size();
            const auto parsed = std::from_chars(field.value.data(), end, value);
            number = parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value) : std::nullopt;
        }
    }
    removeFields(fields, name);
    return number;
}

/** Outcome for the instance if @p code, which it generated, says that another one should be asked. */
std::optional<peer_outcome> refusalToTake(result_code code)
{
    switch (code) {
    case result_code::instance_isolated:
    case result_code::configuration_stale:
        return peer_outcome::isolated;
    case result_code::instance_stopping:
        return peer_outcome::stopping;
    case result_code::no_matching_service:
    case result_code::key_missing:
        // Its configuration differs, as the instance that forwarded the request accepted it. It may take other requests.
    case result_code::malformed_request:
    case result_code::header_too_large:
    case result_code::body_too_large:
    case result_code::memory_exhausted:
        // The memory that all its connections share was used up, or it does not read what the other instance accepted.
        return peer_outcome::unknown;
    default:
        return std::nullopt;
    }
}

} // namespace

http_wire encodeForward(const gateway_request &request, const forward_mark &mark, time_span timeLeft)
{
    const std::array<http_field, 2> fields{ http_field{ std::string(attemptsField), std::to_string(mark.attempts) },
                                            http_field{ std::string(configurationField), std::to_string(mark.configurationVersion) } };
    return platform::encodeForward(request, timeLeft, fields);
}

bool isForward(const http_request &request)
{
    return findField(request.fields, attemptsField) != nullptr;
}

std::variant<gateway_request, result_code> decodeForward(http_request request)
{
    const auto attempts = takeNumber<std::uint32_t>(request.fields, attemptsField);
    // Instances of earlier releases state none.
    const auto configurationVersion = takeNumber<std::uint64_t>(request.fields, configurationField).value_or(0);
    if (!attempts) {
        return result_code::malformed_request;
    }
    auto decoded = platform::decodeRequest(std::move(request));
    if (auto *forwarded = std::get_if<gateway_request>(&decoded)) {
        forwarded->forwarded = forward_mark{ *attempts, configurationVersion };
    }
    return decoded;
}

http_response encodeForwardAnswer(gateway_answer answer, const request_id &id)
{
    const std::optional<result_code> generated = answer.response ? std::nullopt : std::optional(answer.code);
    http_response response = platform::encodeAnswer(std::move(answer), id);
    removeFields(response.fields, resultField);
    removeFields(response.fields, requestField);
    if (generated) {
        response.fields.push_back({ std::string(resultField), std::to_string(static_cast<int>(*generated)) });
    }
    if (!id.value().empty()) {
        response.fields.push_back({ std::string(requestField), id.value() });
    }
    return response;
}

http_response encodeForwardError(result_code code)
{
    return encodeForwardAnswer({ std::nullopt, code, std::nullopt }, {});
}

bool answersForward(const http_response &response, const request_id &id)
{
    if (const std::string *named = findField(response.fields, requestField)) {
        return *named == id.value();
    }
    // Instances of earlier releases name no request in this field, but endpoints do in theirs.
    return findField(response.fields, resultField) != nullptr || platform::belongsTo(response, id);
}

decoded_forward_reply decodeForwardAnswer(http_exchange_result result, const request_id &id)
{
    if (!result.sent) {
        return { forward_not_taken{}, peer_outcome::unreachable };
    }
    if (result.code != result_code::ok) {
        const bool timedOut = result.code == result_code::deadline_while_running;
        return { forward_lost{}, timedOut ? peer_outcome::unanswered : peer_outcome::unreachable };
    }
    if (!answersForward(result.response, id)) {
        return { forward_lost{}, peer_outcome::unknown };
    }
    forward_answered answered{ std::move(result.response), false };
    removeFields(answered.response.fields, requestField);
    if (const auto number = takeNumber<std::uint32_t>(answered.response.fields, resultField)) {
        const auto code = static_cast<result_code>(*number);
        if (const auto refusal = refusalToTake(code)) {
            return { forward_not_taken{}, *refusal };
        }
        answered.refused = outcomeClass(code) == request_outcome_class::not_run;
    }
    return { std::move(answered), peer_outcome::answered };
}

} // namespace sycamoretray
