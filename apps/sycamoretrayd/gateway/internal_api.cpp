#include "sycamoretrayd/gateway/internal_api.h"

#include "http_client/http_connection_pool.h"
#include "http_entry/error_answer.h"
#include "http_message/http_writer.h"
#include "sycamoretrayd/gateway/forwarding_codec.h"

#include <charconv>
#include <map>
#include <string_view>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr std::string_view stopTarget = "/v1/assigner/stop?epoch=";
constexpr time_span stopTimeout = std::chrono::milliseconds(250);
constexpr std::uint32_t httpOk = 200;
// Versions that do not know this answer go on asking until the assigners before the one that they asked cannot send any more.
constexpr std::uint32_t httpAccepted = 202;
constexpr std::uint32_t httpConflict = 409;

std::uint32_t statusOf(assigner_stop_answer answer)
{
    switch (answer) {
    case assigner_stop_answer::stopped:
        return httpOk;
    case assigner_stop_answer::itself_stopped:
        return httpAccepted;
    case assigner_stop_answer::refused:
    case assigner_stop_answer::unanswered:
        break;
    }
    return httpConflict;
}

assigner_stop_answer stopAnswerOf(const http_exchange_result &result)
{
    if (result.code != result_code::ok) {
        return assigner_stop_answer::unanswered;
    }
    switch (result.response.status) {
    case httpOk:
        return assigner_stop_answer::stopped;
    case httpAccepted:
        return assigner_stop_answer::itself_stopped;
    case httpConflict:
        return assigner_stop_answer::refused;
    default:
        return assigner_stop_answer::unanswered;
    }
}

http_response textAnswer(std::string type, std::string text)
{
    http_response response;
    response.fields.push_back({ "Content-Type", std::move(type) });
    response.body = std::move(text);
    return response;
}

} // namespace

struct internal_api::impl {
    impl(boost::asio::io_context &context,
         serial_executor executor,
         http_server_settings settings,
         const metrics_registry &givenMetrics,
         internal_api_functions givenFunctions)
        : metrics(&givenMetrics)
        , functions(std::move(givenFunctions))
        , server(context, std::move(settings), [this, executor](http_request request, std::shared_ptr<answer_handle> handle) {
            executor.post([this, request = std::move(request), handle = std::move(handle)]() mutable {
                handleRequest(std::move(request), std::move(handle));
            });
        })
    {
    }

    const metrics_registry *metrics;
    internal_api_functions functions;
    http_server server;

    void handleRequest(http_request request, std::shared_ptr<answer_handle> handle) const
    {
        if (isForward(request)) {
            functions.handleForward(std::move(request), std::move(handle));
        } else if (!functions.handleTopics(request, handle)) {
            handle->answer(answer(request));
        }
    }

    http_response answer(const http_request &request) const
    {
        if (request.method == "GET" && request.target == "/metrics") {
            return textAnswer("text/plain; version=0.0.4", metrics->expose());
        }
        if (request.method == "GET" && request.target == "/state") {
            return textAnswer("application/json", functions.dump());
        }
        if (request.method == "POST" && std::string_view(request.target).starts_with(stopTarget)) {
            return stopAssigning(std::string_view(request.target).substr(stopTarget.size()));
        }
        return errorAnswer(result_code::unknown_name, {});
    }

    http_response stopAssigning(std::string_view text) const
    {
        std::uint64_t epoch = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), epoch);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
            return errorAnswer(result_code::malformed_request, {});
        }
        http_response response;
        response.status = statusOf(functions.stopAssigningBefore(epoch));
        return response;
    }
};

internal_api::internal_api(boost::asio::io_context &context,
                           serial_executor executor,
                           http_server_settings settings,
                           const metrics_registry &metrics,
                           internal_api_functions functions)
    : d(std::make_unique<impl>(context, std::move(executor), std::move(settings), metrics, std::move(functions)))
{
}

internal_api::~internal_api() = default;

std::error_code internal_api::start()
{
    return d->server.start();
}

void internal_api::setLimits(const caller_transfer_limits &limits)
{
    d->server.setLimits(limits);
}

struct assigner_stop_client::impl {
    serial_executor executor;
    std::map<network_address, std::unique_ptr<http_connection_pool>> pools;
};

assigner_stop_client::assigner_stop_client(serial_executor executor)
    : d(std::make_unique<impl>(impl{ std::move(executor), {} }))
{
}

assigner_stop_client::~assigner_stop_client() = default;

void assigner_stop_client::requestStop(const network_address &assigner, std::uint64_t epoch, std::function<void(assigner_stop_answer answer)> done)
{
    std::unique_ptr<http_connection_pool> &pool = d->pools[assigner];
    if (!pool) {
        connection_pool_settings settings;
        settings.spareConnections = 0;
        settings.connectTimeout = stopTimeout;
        pool = std::make_unique<http_connection_pool>(d->executor, assigner, settings);
    }
    std::string wire;
    appendRequest(wire, "POST", std::string(stopTarget) + std::to_string(epoch), { { "Host", assigner.value() } }, {}, {});
    pool->exchange(std::move(wire), false, stopTimeout, [done = std::move(done)](const http_exchange_result &result) {
        done(stopAnswerOf(result));
    });
}

} // namespace sycamoretray
