#include "server_client/server_client.h"

#include "documents/json_text.h"
#include "http_client/http_connection_pool.h"
#include "http_message/http_writer.h"
#include "server_client/lease_codec.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr std::string_view leaseTarget = "/sycamoretray/v1/lease";
constexpr std::string_view cancelTarget = "/sycamoretray/v1/cancel";
constexpr time_span cancelTimeout = std::chrono::seconds(2);
// A reply has a few dozen values; the limit protects the home against excessive replies of a faulty server.
constexpr std::uint64_t maxLeaseReplyBytes = 64ULL * 1024;

std::string postJson(std::string_view target, const std::string &body)
{
    const http_fields fields{ { "Host", "server" }, { "Content-Type", "application/json" } };
    std::string wire;
    appendRequest(wire, "POST", target, fields, {}, body);
    return wire;
}

std::string printMilliseconds(time_span span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

connection_pool_settings poolSettings(const server_client_settings &settings)
{
    connection_pool_settings result;
    result.maxConnections = settings.maxConnections;
    // One connection for each worker slot and one for cancel requests.
    result.spareConnections = settings.workerSlots + 1;
    result.limits.bodyBytes = settings.answerBytes;
    return result;
}

connection_pool_settings leasePoolSettings()
{
    connection_pool_settings result;
    result.maxConnections = 2;
    result.spareConnections = 1;
    result.connectTimeout = std::chrono::milliseconds(300);
    result.limits.bodyBytes = maxLeaseReplyBytes;
    return result;
}

} // namespace

attempt_result classifyAnswer(http_response response, const request_id &expected)
{
    attempt_result result;
    const std::string *id = findField(response.fields, "Sycamoretray-Request-Id");
    if (id == nullptr || *id != expected.value()) {
        result.code = result_code::answer_mismatch;
        return result;
    }
    const std::string *outcome = findField(response.fields, "Sycamoretray-Outcome");
    const bool refusalStatus = response.status == 421 || response.status == 503 || response.status == 499;
    if (outcome != nullptr && *outcome == "not-run" && refusalStatus) {
        result.result = attempt_result_class::refused;
        return result;
    }
    removeConnectionFields(response.fields);
    removeOwnFields(response.fields);
    result.result = attempt_result_class::answered;
    result.answer = std::move(response);
    return result;
}

struct server_client::impl {
    impl(serial_executor executor, const network_address &address, const server_client_settings &settings)
        : pool(std::move(executor), address, poolSettings(settings))
    {
    }

    http_connection_pool pool;
};

server_client::server_client(serial_executor executor, const network_address &address, server_client_settings settings)
    : d(std::make_unique<impl>(std::move(executor), address, settings))
{
}

server_client::~server_client() = default;

void server_client::open()
{
    d->pool.open();
}

void server_client::send(const http_request &request, const server_request_fields &fields, time_span timeout, std::function<void(attempt_result)> done)
{
    const std::array<http_field, 5> own{ {
        { "Sycamoretray-Request-Id", fields.requestId.value() },
        { "Sycamoretray-Home-Term", std::to_string(fields.term.value()) },
        { "Sycamoretray-Hash-Slot", std::to_string(fields.slot.value()) },
        { "Sycamoretray-Key", fields.key },
        { "Sycamoretray-Deadline-Ms", printMilliseconds(fields.timeLeft) },
    } };
    std::string wire;
    wire.reserve(512 + request.body.size());
    appendRequest(wire, request.method, request.target, request.fields, own, request.body.text());
    d->pool.exchange(std::move(wire), request.method == "HEAD", timeout, [id = fields.requestId, done = std::move(done)](http_exchange_result exchange) {
        if (exchange.code == result_code::ok) {
            done(classifyAnswer(std::move(exchange.response), id));
            return;
        }
        attempt_result result;
        result.sent = exchange.sent;
        switch (exchange.code) {
        case result_code::malformed_message:
        case result_code::header_too_large:
        case result_code::body_too_large:
            result.code = result_code::answer_truncated;
            break;
        case result_code::peer_unreachable:
            result.code = result_code::server_connection_lost;
            break;
        default:
            result.code = exchange.code;
        }
        done(std::move(result));
    });
}

void server_client::cancel(const request_id &request)
{
    const nlohmann::json body = { { "request_id", request.value() } };
    d->pool.exchange(postJson(cancelTarget, toJsonText(body)), false, cancelTimeout, [](const http_exchange_result &) {});
}

std::uint32_t server_client::openConnections() const noexcept
{
    return d->pool.openConnections();
}

struct lease_client::impl {
    impl(serial_executor executor, const network_address &address, incarnation_id givenHome)
        : pool(std::move(executor), address, leasePoolSettings())
        , home(std::move(givenHome))
    {
    }

    http_connection_pool pool;
    incarnation_id home;
};

lease_client::lease_client(serial_executor executor, const network_address &address, incarnation_id home)
    : d(std::make_unique<impl>(std::move(executor), address, std::move(home)))
{
}

lease_client::~lease_client() = default;

void lease_client::send(const send_lease &lease, std::function<void(const lease_reply *)> done)
{
    lease_reply reply;
    reply.server = lease.server;
    reply.operation = lease.operation;
    d->pool.exchange(
        postJson(leaseTarget, encodeLease(lease, d->home)), false, lease.timeout, [reply, done = std::move(done)](const http_exchange_result &exchange) {
            lease_reply decoded = reply;
            const bool valid = exchange.code == result_code::ok && decodeLeaseReply(exchange.response, decoded) == result_code::ok;
            done(valid ? &decoded : nullptr);
        });
}

} // namespace sycamoretray
