#pragma once

#include "controller/evidence_tracker.h"
#include "controller/home_servers.h"
#include "controller/peer_monitor.h"

#include <string>

namespace sycamoretray
{

/** The sources of the dump. */
struct dump_inputs {
    const controller_context &context;
    const evidence_tracker &evidence;
    const peer_monitor &peers;
    const home_servers &homes;
    bool logReachable = false;
    std::size_t queuedRecords = 0;
};

/** Returns the whole state as JSON text. docs/protocols.md describes the part that GET /v1/status returns. */
std::string dumpState(const dump_inputs &inputs, monotonic_time now);

/** Returns the bytes as hexadecimal text. Thread-safe. */
std::string hexText(const std::string &bytes);

} // namespace sycamoretray
