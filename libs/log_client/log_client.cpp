#include "log_client/log_client.h"

#include "http_client/http_connection_pool.h"
#include "http_message/http_writer.h"

#include <utility>

namespace sycamoretray
{

namespace
{

connection_pool_settings poolSettings()
{
    connection_pool_settings settings;
    settings.maxConnections = 8;
    settings.spareConnections = 1;
    settings.connectTimeout = std::chrono::milliseconds(500);
    // Enough for the reply to a read of 1,000 records with snapshot chunks of 64 KB in base64.
    settings.limits.bodyBytes = 128ULL * 1024 * 1024;
    return settings;
}

const http_fields requestFields{ { "Host", "log-service" }, { "Content-Type", "application/json" } };

} // namespace

struct log_client::impl {
    impl(serial_executor executor, const network_address &address)
        : pool(std::move(executor), address, poolSettings())
    {
    }

    http_connection_pool pool;
};

log_client::log_client(serial_executor executor, const network_address &address)
    : d(std::make_unique<impl>(std::move(executor), address))
{
}

log_client::~log_client() = default;

void log_client::read(const std::string &stream,
                      log_offset from,
                      std::uint32_t maxRecords,
                      time_span wait,
                      time_span timeout,
                      std::function<void(log_read_reply)> done)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const std::string target
        = "/streams/" + stream + "/records?from=" + std::to_string(from.value()) + "&max=" + std::to_string(maxRecords) + "&wait_ms=" + std::to_string(waitMs);
    std::string wire;
    appendRequest(wire, "GET", target, requestFields, {}, {});
    d->pool.exchange(std::move(wire), false, timeout, [from, done = std::move(done)](const http_exchange_result &result) {
        done(result.code == result_code::ok ? decodeRead(result.response, from) : log_read_reply{});
    });
}

void log_client::append(const std::string &stream, const std::vector<std::string> &records, time_span timeout, std::function<void(log_append_reply)> done)
{
    std::string wire;
    appendRequest(wire, "POST", "/streams/" + stream + "/records", requestFields, {}, encodeAppend(records));
    d->pool.exchange(std::move(wire), false, timeout, [done = std::move(done)](const http_exchange_result &result) {
        log_append_reply reply;
        if (result.code == result_code::ok) {
            reply = decodeAppend(result.response);
        } else if (!result.sent) {
            reply.code = result_code::append_failed;
        }
        done(reply);
    });
}

} // namespace sycamoretray
