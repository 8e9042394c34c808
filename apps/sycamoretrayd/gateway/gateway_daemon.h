#pragma once

#include "settings/gateway_daemon_settings.h"

#include <memory>
#include <string>

namespace sycamoretray
{

/**
 * An instance that routes callers' requests to endpoints which register with the platform, and that takes part in assigning
 * keys to them.
 *
 * Thread safety: none.
 */
class gateway_daemon
{
public:
    /** @param settingsFile  read again when it changes; empty for none */
    gateway_daemon(gateway_daemon_settings settings, std::string settingsFile);
    ~gateway_daemon();
    gateway_daemon(const gateway_daemon &) = delete;
    gateway_daemon &operator=(const gateway_daemon &) = delete;

    /** Runs until a signal ends it. Returns the exit code. */
    int run();

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
