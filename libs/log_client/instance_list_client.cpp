#include "log_client/instance_list_client.h"

#include "documents/json_text.h"
#include "http_client/http_connection_pool.h"
#include "http_message/http_writer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace sycamoretray
{

namespace
{

using json = nlohmann::json;

connection_pool_settings poolSettings()
{
    connection_pool_settings settings;
    settings.maxConnections = 2;
    settings.spareConnections = 0;
    settings.limits.bodyBytes = 4ULL * 1024 * 1024;
    return settings;
}

std::string requestText(std::string_view method, const std::string &target, const std::string &body)
{
    std::string wire;
    appendRequest(wire, method, target, { { "Host", "instance-list" }, { "Content-Type", "application/json" } }, {}, body);
    return wire;
}

bool succeeded(const http_exchange_result &result)
{
    return result.code == result_code::ok && result.response.status / 100 == 2;
}

} // namespace

std::optional<std::vector<instance_list_entry>> decodeInstanceList(const http_response &response)
{
    if (response.status != 200) {
        return std::nullopt;
    }
    try {
        const json body = json::parse(response.body.text());
        std::vector<instance_list_entry> entries;
        for (const json &item : body.at("instances")) {
            instance_list_entry entry;
            entry.instance = instance_id(item.at("id").get<std::string>());
            entry.incarnation = incarnation_id(item.at("incarnation").get<std::string>());
            entry.zone = availability_zone(item.at("availability_zone").get<std::string>());
            entry.peerAddress = network_address(item.at("peer_address").get<std::string>());
            entry.leaving = item.at("state").get<std::string>() == "leaving";
            entries.push_back(std::move(entry));
        }
        return entries;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

struct instance_list_client::impl {
    impl(serial_executor executor, const network_address &address)
        : pool(std::move(executor), address, poolSettings())
    {
    }

    http_connection_pool pool;
};

instance_list_client::instance_list_client(serial_executor executor, const network_address &address)
    : d(std::make_unique<impl>(std::move(executor), address))
{
}

instance_list_client::~instance_list_client() = default;

void instance_list_client::read(time_span timeout, std::function<void(std::optional<std::vector<instance_list_entry>>)> done)
{
    d->pool.exchange(requestText("GET", "/instances", {}), false, timeout, [done = std::move(done)](const http_exchange_result &result) {
        done(result.code == result_code::ok ? decodeInstanceList(result.response) : std::nullopt);
    });
}

void instance_list_client::put(const instance_list_entry &entry, time_span timeout, std::function<void(bool)> done)
{
    const json body = { { "id", entry.instance.value() },
                        { "incarnation", entry.incarnation.value() },
                        { "availability_zone", entry.zone.value() },
                        { "peer_address", entry.peerAddress.value() },
                        { "state", entry.leaving ? "leaving" : "live" } };
    d->pool.exchange(requestText("PUT", "/instances/" + entry.instance.value(), toJsonText(body)),
                     false,
                     timeout,
                     [done = std::move(done)](const http_exchange_result &result) {
                         done(succeeded(result));
                     });
}

void instance_list_client::remove(const instance_id &instance, time_span timeout, std::function<void(bool)> done)
{
    d->pool.exchange(requestText("DELETE", "/instances/" + instance.value(), {}), false, timeout, [done = std::move(done)](const http_exchange_result &result) {
        done(succeeded(result));
    });
}

} // namespace sycamoretray
