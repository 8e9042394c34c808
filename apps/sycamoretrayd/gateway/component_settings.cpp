#include "sycamoretrayd/gateway/component_settings.h"

#include "sycamoretrayd/gateway/forwarding_codec.h"

#include <malloc.h>

#include <algorithm>
#include <random>

namespace sycamoretray
{

namespace
{

// File descriptors kept for connections to endpoints, the store and other instances, for readiness checks and for logs.
constexpr std::uint32_t reservedDescriptors = 700;
constexpr std::uint64_t bytesPerMegabyte = 1024UL * 1024;
// What the process needs beside messages: its program, the state of the site, and memory that the allocator can't reuse.
constexpr std::uint64_t processBytes = 36 * bytesPerMegabyte;
// Beside the largest body: the smaller requests and the answers of other callers.
constexpr std::uint64_t besideLargestBody = 12 * bytesPerMegabyte;
// Largest share of the memory limit for messages that only answers may take, and its upper bound.
constexpr std::uint64_t answerShareDivisor = 5;
constexpr std::uint64_t maxAnswerBytes = 8 * bytesPerMegabyte;
// Upper bound of the memory that requests with large bodies leave for others.
constexpr std::uint64_t maxSmallRequestBytes = 3 * bytesPerMegabyte;
// Connections of other instances and operators for which there is room when callers use all of theirs.
constexpr std::uint32_t internalConnections = 64;
// Other instances and operators send one request at a time on a connection.
constexpr std::uint32_t internalPipelinedRequests = 4;
// Enough for several megabytes a second to the farthest callers.
constexpr std::uint32_t socketBufferBytes = 64 * 1024;
// Another instance may be paused between two parts of what it sends.
constexpr time_span internalHeaderTimeout = std::chrono::seconds(10);
constexpr time_span internalIdleTimeout = std::chrono::seconds(60);

std::uint64_t randomPermitIdBase()
{
    constexpr unsigned upperHalfShift = 32;
    return static_cast<std::uint64_t>(std::random_device()()) << upperHalfShift;
}

std::uint32_t callerConnections(const gateway_daemon_settings &settings)
{
    return std::max(reservedDescriptors, settings.descriptors) - reservedDescriptors + 1;
}

void apply(const caller_transfer_limits &limits, http_server_settings &settings)
{
    settings.limits = limits.message;
    settings.headerTimeout = limits.headerTimeout;
    settings.idleTimeout = limits.idleTimeout;
}

} // namespace

std::string newIncarnationName(const instance_id &instance)
{
    std::random_device device;
    return instance.value() + "#" + std::to_string(device());
}

std::shared_ptr<resource_budget> callerBudget(const gateway_daemon_settings &settings)
{
    const std::uint64_t memory = settings.memoryMb * bytesPerMegabyte;
    // Large instances keep more memory for the state of the site; on small ones, the largest body must fit.
    const std::uint64_t proportional = memory / 16 * 5;
    const std::uint64_t besideProcess = std::min(memory - std::min(memory, processBytes), request_limits().bodyBytes + besideLargestBody);
    resource_limits limits;
    limits.totalBytes = std::max(proportional, besideProcess);
    limits.requestBytes = limits.totalBytes - std::min(limits.totalBytes / answerShareDivisor, maxAnswerBytes);
    limits.smallRequestBytes = std::min(limits.requestBytes / 4, maxSmallRequestBytes);
    limits.connections = callerConnections(settings) + internalConnections;
    return std::make_shared<resource_budget>(limits);
}

caller_transfer_limits transferLimits(const request_limits &limits)
{
    caller_transfer_limits result;
    result.message.headerBytes = limits.headerBytes;
    result.message.bodyBytes = limits.bodyBytes;
    // The header's size and the memory that its fields take are limited, so that their number needs no limit of its own.
    result.message.fields = limits.headerBytes;
    result.headerTimeout = limits.headerTimeout;
    result.idleTimeout = limits.idleTimeout;
    return result;
}

caller_transfer_limits internalTransferLimits(const request_limits &limits)
{
    // Fields that are added to the caller's.
    constexpr std::uint32_t addedHeaderBytes = 1024;
    caller_transfer_limits result = transferLimits(limits);
    result.message.headerBytes += addedHeaderBytes;
    result.message.fields += addedHeaderBytes;
    result.headerTimeout = internalHeaderTimeout;
    result.idleTimeout = internalIdleTimeout;
    return result;
}

http_server_settings callerServerSettings(const gateway_daemon_settings &settings, const std::shared_ptr<resource_budget> &budget)
{
    http_server_settings result;
    result.name = "callers";
    result.budget = budget;
    result.socketBufferBytes = socketBufferBytes;
    result.address = settings.callerAddress;
    result.maxConnections = callerConnections(settings);
    apply(transferLimits({}), result);
    return result;
}

http_server_settings internalServerSettings(const gateway_daemon_settings &settings, const std::shared_ptr<resource_budget> &budget)
{
    http_server_settings result;
    result.name = "internal";
    result.address = settings.internalAddress;
    result.budget = budget;
    result.socketBufferBytes = socketBufferBytes;
    // What other instances forward was accepted there.
    result.purpose = reservation_purpose::answer;
    // A connection beyond the limit is closed after the other instance has sent its request on it, so that its outcome is unknown there.
    constexpr std::uint32_t maxInternalConnections = 1024;
    result.maxConnections = std::min(maxInternalConnections, std::max(1U, callerConnections(settings) / 2));
    result.pipelinedRequests = internalPipelinedRequests;
    apply(internalTransferLimits({}), result);
    result.errorResponse = encodeForwardError;
    return result;
}

http_server_settings readinessServerSettings(const gateway_daemon_settings &settings, const std::shared_ptr<resource_budget> &budget)
{
    http_server_settings result;
    result.name = "readiness";
    result.address = settings.readinessAddress;
    result.budget = budget;
    result.socketBufferBytes = socketBufferBytes;
    // Readiness checks are answered when the memory for callers is used up, within limits of their own.
    result.purpose = reservation_purpose::essential;
    constexpr std::uint32_t maxReadinessConnections = 64;
    result.maxConnections = maxReadinessConnections;
    result.pipelinedRequests = internalPipelinedRequests;
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

void returnUnusedMemory()
{
    malloc_trim(0);
}

} // namespace sycamoretray
