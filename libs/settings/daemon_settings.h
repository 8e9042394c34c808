#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/ownership_timing.h"

#include <cstdint>
#include <string>

namespace sycamoretray
{

/** Limits for callers. Sizes are in bytes. */
struct caller_limits {
    std::uint32_t connections = 4096;
    std::uint32_t headerBytes = 16 * 1024;
    /** Time limit for receiving a complete request after its first byte, and for sending an answer. */
    time_span transferTimeout = std::chrono::seconds(10);
    /** Time after which a connection without a request is closed. */
    time_span idleTimeout = std::chrono::seconds(60);
};

/** Settings of sycamoretrayd. docs/settings.md lists the JSON names. */
struct daemon_settings {
    instance_id instance;
    availability_zone zone;
    network_address callerAddress;
    network_address peerAddress;
    network_address adminAddress;
    /** Address that other instances connect to; empty if it is peerAddress. */
    network_address advertisedPeerAddress;
    network_address logServiceAddress;
    network_address instanceListAddress;
    bool registerWithInstanceList = false;
    std::string controlStream = "sycamoretray-control";
    std::string snapshotStream = "sycamoretray-snapshots";
    /** File with the secret shared by all instances; at least 32 bytes. */
    std::string peerSecretFile;
    /** File with the bearer token of the administration API. May be empty only if adminAddress is a loopback address. */
    std::string adminTokenFile;
    std::uint32_t workers = 2;
    caller_limits callers;
    ownership_timing ownership;
};

/**
 * Parses settings. Throws document_error if @p text is not valid. For an unknown name, the error suggests the most similar valid name.
 * Thread-safe.
 */
daemon_settings parseDaemonSettings(const std::string &text);

/** Reads and parses a settings file. Throws document_error, whose message names the file. */
daemon_settings readDaemonSettings(const std::string &file);

/** Returns all settings, including those with default values, as JSON text that parseDaemonSettings() accepts. Thread-safe. */
std::string printDaemonSettings(const daemon_settings &settings);

} // namespace sycamoretray
