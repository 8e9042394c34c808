#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <cstdint>
#include <string>

namespace sycamoretray
{

/** Settings of "sycamoretrayd gateway". docs/settings.md lists the JSON names. */
struct gateway_daemon_settings {
    instance_id instance;
    availability_zone zone;
    network_address callerAddress;
    network_address readinessAddress;
    /** For other instances, metrics and state dumps. */
    network_address internalAddress;
    network_address storeAddress;
    /** Processor that the instance may use, in cores. */
    double processorShare = 1;
    /** File descriptors that the process may have. */
    std::uint32_t descriptors = 4096;
    /** Memory that the process may use, in megabytes. */
    std::uint32_t memoryMb = 512;
    /** Silence after which the store takes a member of a group for lost; at least what the store accepts. */
    time_span memberTimeToLive = std::chrono::milliseconds(1000);
    /** Longest time for which an endpoint accepts keys. */
    time_span longestGrant = std::chrono::seconds(10);
    /** Time after its announcement for which a leaving endpoint may still be sent requests. */
    time_span drainLimit = std::chrono::seconds(2);
    /** Time between the signal to stop and the end of the process. */
    time_span stopLimit = std::chrono::seconds(6);
    /** Repeats allowed per request, and beyond that in each window for all instances together. */
    double retryShare = 0.2;
    double retrySlack = 50;
    time_span retryWindow = std::chrono::seconds(10);
};

/** Parses settings. Throws document_error if @p text is not valid. Thread-safe. */
gateway_daemon_settings parseGatewaySettings(const std::string &text);

/** Reads and parses a settings file. Throws document_error, whose message names the file. */
gateway_daemon_settings readGatewaySettings(const std::string &file);

/** Returns the settings as JSON text that parseGatewaySettings() accepts. Thread-safe. */
std::string printGatewaySettings(const gateway_daemon_settings &settings);

} // namespace sycamoretray
