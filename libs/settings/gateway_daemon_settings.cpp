#include "settings/gateway_daemon_settings.h"

#include "documents/document_reader.h"
#include "documents/network_address_text.h"

#include <fstream>
#include <sstream>

namespace sycamoretray
{

namespace
{

using nlohmann::json;

constexpr double maxSeconds = 86400;

double inSeconds(time_span span)
{
    return std::chrono::duration<double>(span).count();
}

time_span readSeconds(document_reader &reader, const std::string &name, time_span fallback)
{
    constexpr double minSeconds = 0.001;
    return std::chrono::duration_cast<time_span>(std::chrono::duration<double>(reader.realNumber(name, inSeconds(fallback), minSeconds, maxSeconds)));
}

network_address readAddress(document_reader &reader, const std::string &name)
{
    const std::string text = reader.text(name);
    if (!isNetworkAddress(text)) {
        throw document_error(reader.pathOf(name), "\"" + text + "\"", networkAddressRemedy);
    }
    return network_address(text);
}

} // namespace

gateway_daemon_settings parseGatewaySettings(const std::string &text)
{
    const json parsed = parseDocument(text);
    document_reader reader(parsed, "");
    gateway_daemon_settings settings;
    settings.instance = instance_id(reader.nonEmptyText("instance"));
    settings.zone = availability_zone(reader.nonEmptyText("availability_zone"));
    settings.callerAddress = readAddress(reader, "caller_address");
    settings.readinessAddress = readAddress(reader, "readiness_address");
    settings.internalAddress = readAddress(reader, "internal_address");
    settings.storeAddress = readAddress(reader, "store_address");
    constexpr double minProcessorShare = 0.001;
    constexpr double maxProcessorShare = 1024;
    settings.processorShare = reader.realNumber("processor_share", settings.processorShare, minProcessorShare, maxProcessorShare);
    constexpr std::uint64_t minMemoryMb = 64;
    settings.memoryMb = static_cast<std::uint32_t>(reader.unsignedNumber("memory_mb", settings.memoryMb, minMemoryMb));
    constexpr std::uint64_t minDescriptors = 512;
    settings.descriptors = static_cast<std::uint32_t>(reader.unsignedNumber("descriptors", settings.descriptors, minDescriptors));
    settings.memberTimeToLive = readSeconds(reader, "member_ttl_s", settings.memberTimeToLive);
    settings.longestGrant = readSeconds(reader, "longest_grant_s", settings.longestGrant);
    settings.drainLimit = readSeconds(reader, "drain_limit_s", settings.drainLimit);
    settings.evacuationLimit = readSeconds(reader, "evacuation_limit_s", settings.evacuationLimit);
    settings.stopLimit = readSeconds(reader, "stop_limit_s", settings.stopLimit);
    constexpr double maxRetrySlack = 1e6;
    settings.retryShare = reader.realNumber("retry_share", settings.retryShare, 0, 1);
    settings.retrySlack = reader.realNumber("retry_slack", settings.retrySlack, 0, maxRetrySlack);
    settings.retryWindow = readSeconds(reader, "retry_window_s", settings.retryWindow);
    reader.finish();
    return settings;
}

gateway_daemon_settings readGatewaySettings(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        throw document_error(file, "unreadable", "name a settings file that exists and may be read");
    }
    std::stringstream text;
    text << stream.rdbuf();
    try {
        return parseGatewaySettings(text.str());
    } catch (const document_error &error) {
        throw document_error(file, error);
    }
}

std::string printGatewaySettings(const gateway_daemon_settings &settings)
{
    const json result = {
        { "instance", settings.instance.value() },
        { "availability_zone", settings.zone.value() },
        { "caller_address", settings.callerAddress.value() },
        { "readiness_address", settings.readinessAddress.value() },
        { "internal_address", settings.internalAddress.value() },
        { "store_address", settings.storeAddress.value() },
        { "processor_share", settings.processorShare },
        { "descriptors", settings.descriptors },
        { "memory_mb", settings.memoryMb },
        { "member_ttl_s", inSeconds(settings.memberTimeToLive) },
        { "longest_grant_s", inSeconds(settings.longestGrant) },
        { "drain_limit_s", inSeconds(settings.drainLimit) },
        { "evacuation_limit_s", inSeconds(settings.evacuationLimit) },
        { "stop_limit_s", inSeconds(settings.stopLimit) },
        { "retry_share", settings.retryShare },
        { "retry_slack", settings.retrySlack },
        { "retry_window_s", inSeconds(settings.retryWindow) },
    };
    return result.dump(2) + "\n";
}

} // namespace sycamoretray
