#include "sycamoretrayd/gateway/component_settings.h"

#include "sycamoretrayd/gateway/forwarding_codec.h"

#include <malloc.h>

#include <algorithm>
#include <random>

namespace sycamoretray
{

namespace
{

// File descriptors kept for connections to endpoints, the store and other instances, and for logs.
constexpr std::uint32_t reservedDescriptors = 700;
// Messages being received get one fourth of the memory; answers to callers and the state of the site take the rest.
constexpr std::uint64_t messageMemoryDivisor = 4;
constexpr std::uint64_t maxRequestBodyBytes = 64ULL * 1024 * 1024;

std::uint64_t randomPermitIdBase()
{
    constexpr unsigned upperHalfShift = 32;
    return static_cast<std::uint64_t>(std::random_device()()) << upperHalfShift;
}

} // namespace

std::string newIncarnationName(const instance_id &instance)
{
    std::random_device device;
    return instance.value() + "#" + std::to_string(device());
}

std::shared_ptr<buffer_budget> messageBudget(const gateway_daemon_settings &settings)
{
    constexpr std::uint64_t bytesPerMegabyte = 1024UL * 1024;
    return std::make_shared<buffer_budget>(settings.memoryMb * bytesPerMegabyte / messageMemoryDivisor);
}

http_server_settings callerServerSettings(const gateway_daemon_settings &settings, const std::shared_ptr<buffer_budget> &budget)
{
    http_server_settings result;
    result.budget = budget;
    result.address = settings.callerAddress;
    result.maxConnections = std::max(reservedDescriptors, settings.descriptors) - reservedDescriptors + 1;
    result.limits.bodyBytes = maxRequestBodyBytes;
    return result;
}

http_server_settings internalServerSettings(const gateway_daemon_settings &settings, const std::shared_ptr<buffer_budget> &budget)
{
    http_server_settings result;
    result.address = settings.internalAddress;
    result.budget = budget;
    // A connection beyond the limit is closed after the other instance has sent its request on it, so that its outcome is unknown there.
    constexpr std::uint32_t maxInternalConnections = 1024;
    result.maxConnections = maxInternalConnections;
    result.limits.bodyBytes = maxRequestBodyBytes;
    // Fields that are added to the caller's.
    constexpr std::uint32_t addedHeaderBytes = 1024;
    constexpr std::uint32_t addedFields = 8;
    result.limits.headerBytes += addedHeaderBytes;
    result.limits.fields += addedFields;
    result.errorResponse = encodeForwardError;
    return result;
}

http_server_settings readinessServerSettings(const gateway_daemon_settings &settings)
{
    http_server_settings result;
    result.address = settings.readinessAddress;
    constexpr std::uint32_t maxReadinessConnections = 64;
    result.maxConnections = maxReadinessConnections;
    // Requests for readiness need no body. They do not share the memory of the callers, so that they are answered when it is used up.
    constexpr std::uint64_t maxReadinessBodyBytes = 4096;
    result.limits.bodyBytes = maxReadinessBodyBytes;
    return result;
}

gateway_settings gatewaySettings(const gateway_daemon_settings &settings)
{
    gateway_settings result;
    result.instance = settings.instance;
    result.zone = settings.zone;
    result.permitIdBase = randomPermitIdBase();
    result.retries = { settings.retryShare, settings.retrySlack, settings.retryWindow };
    // Counted from the arrival of the drain notice, which takes up to 2 s if relays are lost.
    result.drainTime = settings.drainLimit / 4;
    // Counted from the arrival of the record, which takes up to 2 s if relays are lost.
    constexpr double usedShareOfEvacuationLimit = 0.6;
    result.evacuationTime = std::chrono::duration_cast<time_span>(settings.evacuationLimit * usedShareOfEvacuationLimit);
    return result;
}

void returnFreedMemory()
{
    constexpr int largeBufferBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, largeBufferBytes);
    mallopt(M_TRIM_THRESHOLD, largeBufferBytes);
}

} // namespace sycamoretray
