#include "sycamoretrayd/gateway/part_settings.h"

#include <algorithm>
#include <random>

namespace sycamoretray
{

namespace
{

// Descriptors for endpoints, the store, other instances and logs, out of those that the process may have.
constexpr std::uint32_t otherDescriptors = 700;
// Part of the memory for messages that are being received; answers to callers and what is known of the site take the rest.
constexpr std::uint64_t bufferedPart = 4;

std::uint64_t randomFirstPermit()
{
    constexpr unsigned half = 32;
    return static_cast<std::uint64_t>(std::random_device()()) << half;
}

} // namespace

std::string newIncarnation(const instance_id &instance)
{
    std::random_device device;
    return instance.value() + "#" + std::to_string(device());
}

std::shared_ptr<buffer_budget> messageBudget(const gateway_daemon_settings &settings)
{
    constexpr std::uint64_t megabyte = 1024UL * 1024;
    return std::make_shared<buffer_budget>(settings.memoryMb * megabyte / bufferedPart);
}

http_server_settings callerServerSettings(const gateway_daemon_settings &settings, const std::shared_ptr<buffer_budget> &budget)
{
    http_server_settings result;
    result.budget = budget;
    result.address = settings.callerAddress;
    result.maxConnections = std::max(otherDescriptors, settings.descriptors) - otherDescriptors + 1;
    constexpr std::uint64_t bodyBytes = 64ULL * 1024 * 1024;
    result.limits.bodyBytes = bodyBytes;
    return result;
}

http_server_settings readinessServerSettings(const gateway_daemon_settings &settings)
{
    http_server_settings result;
    result.address = settings.readinessAddress;
    constexpr std::uint32_t checkers = 64;
    result.maxConnections = checkers;
    return result;
}

gateway_settings gatewaySettings(const gateway_daemon_settings &settings)
{
    gateway_settings result;
    result.instance = settings.instance;
    result.zone = settings.zone;
    result.firstPermit = randomFirstPermit();
    result.retries = { settings.retryShare, settings.retrySlack, settings.retryWindow };
    // A notice takes up to 2 s to arrive if relays are lost, and the time counts from its arrival.
    result.drainTime = settings.drainLimit / 4;
    return result;
}

} // namespace sycamoretray
