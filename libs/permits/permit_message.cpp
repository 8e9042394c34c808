#include "permits/permit_message.h"

#include "documents/cbor.h"

#include <nlohmann/json.hpp>

namespace sycamoretray
{

namespace
{

using nlohmann::json;

// First element of a message, which is an array. Numbers are never reused.
enum class message_kind {
    request = 1,
    permit_return = 2,
    grant = 3,
    queued = 4,
    refusal = 5,
    unavailable = 6,
    return_acknowledgement = 7,
};

json encodeHeader(message_kind kind, permit_id id)
{
    return json::array({ static_cast<int>(kind), id.value() });
}

json encode(const permit_request_message &message)
{
    const permit_request &request = message.request;
    json result = encodeHeader(message_kind::request, request.id);
    result.push_back(request.service.value());
    result.push_back(request.zone.value());
    result.push_back(request.owner ? json::array({ request.owner->endpoint.value(), request.owner->startedAtMs }) : json());
    result.push_back(request.key ? json(request.key->value()) : json());
    result.push_back(request.priority);
    result.push_back(request.typicalRunTime.count());
    result.push_back(request.maxAnswerTime.count());
    json tried = json::array();
    for (const endpoint_id &endpoint : request.triedEndpoints) {
        tried.push_back(endpoint.value());
    }
    result.push_back(std::move(tried));
    result.push_back(request.ownerLimit ? json::array({ request.ownerLimit->rate.value(), request.ownerLimit->age.count() }) : json());
    result.push_back(static_cast<int>(request.role));
    result.push_back(request.fingerprint ? json(request.fingerprint->value()) : json());
    result.push_back(request.idempotent);
    if (request.callerTimeLeft) {
        result.push_back(request.callerTimeLeft->count());
    }
    return result;
}

json encodeLoad(const endpoint_load &load)
{
    json result = json::array({ load.running, load.waiting, load.workerSlots });
    if (load.runTimePercent) {
        result.push_back(*load.runTimePercent);
    }
    return result;
}

json encode(const permit_return &message)
{
    const permit_result &result = message.result;
    json encoded = encodeHeader(message_kind::permit_return, message.id);
    encoded.push_back(result.finished);
    encoded.push_back(static_cast<int>(result.kind));
    encoded.push_back(result.sent);
    encoded.push_back(result.misdirected);
    encoded.push_back(result.status);
    encoded.push_back(result.load ? encodeLoad(*result.load) : json());
    encoded.push_back(result.requestLimit ? json(result.requestLimit->value()) : json());
    encoded.push_back(result.timedOut);
    return encoded;
}

json encode(const permit_grant &message)
{
    json result = encodeHeader(message_kind::grant, message.id);
    result.push_back(message.endpoint.value());
    result.push_back(message.startedAtMs);
    return result;
}

json encode(const permit_queued &message)
{
    return encodeHeader(message_kind::queued, message.id);
}

json encode(const permit_refusal &message)
{
    json result = encodeHeader(message_kind::refusal, message.id);
    result.push_back(message.retryAfter.count());
    return result;
}

json encode(const permit_unavailable &message)
{
    json result = encodeHeader(message_kind::unavailable, message.id);
    result.push_back(message.stopping);
    return result;
}

json encode(const permit_return_acknowledgement &message)
{
    return encodeHeader(message_kind::return_acknowledgement, message.id);
}

request_rate decodeRate(const json &number)
{
    const auto rate = toRequestRate(number.get<double>());
    if (!rate) {
        throw json::other_error::create(501, "invalid rate", nullptr);
    }
    return *rate;
}

known_request_limit decodeKnownLimit(const json &limit)
{
    const time_span age(limit.at(1).get<std::int64_t>());
    if (age < time_span::zero()) {
        throw json::other_error::create(501, "invalid age", nullptr);
    }
    return { decodeRate(limit.at(0)), age };
}

limit_role decodeLimitRole(int number)
{
    const auto role = static_cast<limit_role>(number);
    if (role != limit_role::first_coordinator && role != limit_role::second_coordinator && role != limit_role::further_coordinator) {
        throw json::other_error::create(501, "unknown role of a coordinator", nullptr);
    }
    return role;
}

permit_request_message decodeRequest(permit_id id, const json &message)
{
    permit_request request;
    request.id = id;
    request.service = service_id(message.at(2).get<std::string>());
    request.zone = availability_zone(message.at(3).get<std::string>());
    if (const json &owner = message.at(4); !owner.is_null()) {
        request.owner = endpoint_incarnation{ endpoint_id(owner.at(0).get<std::string>()), owner.at(1).get<std::uint64_t>(), {} };
    }
    if (const json &key = message.at(5); !key.is_null()) {
        request.key = key_number(key.get<std::uint16_t>());
    }
    request.priority = message.at(6).get<std::uint32_t>();
    request.typicalRunTime = time_span(message.at(7).get<std::int64_t>());
    request.maxAnswerTime = time_span(message.at(8).get<std::int64_t>());
    for (const json &endpoint : message.at(9)) {
        request.triedEndpoints.emplace_back(endpoint.get<std::string>());
    }
    if (const json &limit = message.at(10); !limit.is_null()) {
        request.ownerLimit = decodeKnownLimit(limit);
    }
    request.role = decodeLimitRole(message.at(11).get<int>());
    // Instances of earlier versions leave out the last elements.
    constexpr std::size_t fingerprintIndex = 12;
    constexpr std::size_t idempotentIndex = 13;
    constexpr std::size_t callerTimeLeftIndex = 14;
    if (message.size() > fingerprintIndex && !message.at(fingerprintIndex).is_null()) {
        request.fingerprint = request_fingerprint(message.at(fingerprintIndex).get<std::uint64_t>());
    }
    if (message.size() > idempotentIndex) {
        request.idempotent = message.at(idempotentIndex).get<bool>();
    }
    if (message.size() > callerTimeLeftIndex) {
        request.callerTimeLeft = time_span(message.at(callerTimeLeftIndex).get<std::int64_t>());
    }
    return { request };
}

reply_kind decodeReplyKind(int number)
{
    const auto kind = static_cast<reply_kind>(number);
    if (kind != reply_kind::answered && kind != reply_kind::not_run && kind != reply_kind::failed) {
        throw json::other_error::create(501, "unknown reply kind", nullptr);
    }
    return kind;
}

endpoint_load decodeLoad(const json &load)
{
    constexpr std::size_t runTimePercentIndex = 3;
    endpoint_load result{ load.at(0).get<std::uint32_t>(), load.at(1).get<std::uint32_t>(), load.at(2).get<std::uint32_t>(), std::nullopt };
    // Instances of earlier versions leave it out.
    if (load.size() > runTimePercentIndex) {
        result.runTimePercent = load.at(runTimePercentIndex).get<std::uint32_t>();
    }
    return result;
}

permit_return decodeReturn(permit_id id, const json &message)
{
    permit_return result;
    result.id = id;
    result.result.finished = message.at(2).get<bool>();
    result.result.kind = decodeReplyKind(message.at(3).get<int>());
    result.result.sent = message.at(4).get<bool>();
    result.result.misdirected = message.at(5).get<bool>();
    result.result.status = message.at(6).get<std::uint32_t>();
    if (const json &load = message.at(7); !load.is_null()) {
        result.result.load = decodeLoad(load);
    }
    if (const json &limit = message.at(8); !limit.is_null()) {
        result.result.requestLimit = decodeRate(limit);
    }
    // Instances of earlier versions leave it out.
    constexpr std::size_t timedOutIndex = 9;
    if (message.size() > timedOutIndex) {
        result.result.timedOut = message.at(timedOutIndex).get<bool>();
    }
    return result;
}

std::optional<permit_message> decode(const json &message)
{
    const permit_id id(message.at(1).get<std::uint64_t>());
    switch (static_cast<message_kind>(message.at(0).get<int>())) {
    case message_kind::request:
        return decodeRequest(id, message);
    case message_kind::permit_return:
        return decodeReturn(id, message);
    case message_kind::grant:
        return permit_grant{ id, endpoint_id(message.at(2).get<std::string>()), message.at(3).get<std::uint64_t>() };
    case message_kind::queued:
        return permit_queued{ id };
    case message_kind::refusal:
        return permit_refusal{ id, time_span(message.at(2).get<std::int64_t>()) };
    case message_kind::unavailable:
        return permit_unavailable{ id, message.at(2).get<bool>() };
    case message_kind::return_acknowledgement:
        return permit_return_acknowledgement{ id };
    }
    return std::nullopt;
}

} // namespace

std::string encodePermitMessage(const permit_message &message)
{
    return encodeCbor(std::visit(
        [](const auto &each) {
            return encode(each);
        },
        message));
}

std::optional<permit_message> decodePermitMessage(std::string_view data)
{
    try {
        return decode(decodeCbor(data));
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace sycamoretray
