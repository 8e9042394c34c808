#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/ownership_timing.h"

#include <cstdint>
#include <string>

namespace sycamoretray
{

/** Bounds on what callers may use. Sizes in bytes. */
struct caller_limits {
    std::uint32_t connections = 4096;
    std::uint32_t headerBytes = 16 * 1024;
    /** Time for a complete header or body after the first byte, and for reading an answer. */
    time_span transferTimeout = std::chrono::seconds(10);
    /** Time a connection may stay open without a request. */
    time_span idleTimeout = std::chrono::seconds(60);
};

/** Settings of sycamoretrayd. docs/settings.md lists the JSON names. */
struct daemon_settings {
    instance_id instance;
    availability_zone zone;
    network_address callerAddress;
    network_address peerAddress;
    network_address adminAddress;
    /** Address that other instances use, if it differs from peerAddress. */
    network_address advertisedPeerAddress;
    network_address logServiceAddress;
    network_address instanceListAddress;
    bool registerWithInstanceList = false;
    std::string controlStream = "sycamoretray-control";
    std::string snapshotStream = "sycamoretray-snapshots";
    /** File with the secret that instances share; at least 32 bytes. */
    std::string peerSecretFile;
    /** File with the bearer token of the administration API; empty on loopback only. */
    std::string adminTokenFile;
    std::uint32_t workers = 2;
    caller_limits callers;
    ownership_timing ownership;
};

/**
 * Parses settings. Throws document_error if @p text is not valid: unknown names are refused with the nearest valid name.
 * Thread-safe.
 */
daemon_settings parseDaemonSettings(const std::string &text);

/** Reads and parses a settings file. Throws document_error, whose message names the file. */
daemon_settings readDaemonSettings(const std::string &file);

/** Returns the settings as JSON text that parseDaemonSettings() accepts, with all defaults. Thread-safe. */
std::string printDaemonSettings(const daemon_settings &settings);

} // namespace sycamoretray
