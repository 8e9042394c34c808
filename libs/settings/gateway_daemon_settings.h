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
    /** Address for other instances, metrics and state dumps. */
    network_address internalAddress;
    network_address storeAddress;
    /** Processor limit of the instance, in cores. */
    double processorShare = 1;
    /** Limit of open file descriptors of the process. */
    std::uint32_t descriptors = 4096;
    /** Memory limit of the process, in megabytes. */
    std::uint32_t memoryMb = 512;
    /** Time without a join after which the store removes a member from its group; at least the minimum that the store accepts. */
    time_span memberTimeToLive = std::chrono::milliseconds(1000);
    /** Longest key grant that an endpoint accepts. */
    time_span longestGrant = std::chrono::seconds(10);
    /** Time for which requests may still be sent to an endpoint after it has announced that it is draining. */
    time_span drainLimit = std::chrono::seconds(2);
    /** Time after the operator's request to evacuate a zone from which no request may reach an endpoint of the zone. */
    time_span evacuationLimit = std::chrono::seconds(5);
    /** Time from the stop signal until the process must have exited. */
    time_span stopLimit = std::chrono::seconds(6);
    /** Retry budget: retries per request, plus retrySlack retries per retryWindow for all instances together. */
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
