#pragma once

#include "settings/gateway_daemon_settings.h"

#include <memory>
#include <string>

namespace sycamoretray
{

/**
 * An instance that routes callers' requests to the endpoints registered in the metadata store, and takes part in assigning keys to the
 * endpoints.
 *
 * Thread safety: none.
 */
class gateway_daemon
{
public:
    /** @param settingsFile  file that is read again and checked when a signal asks for it; empty for none */
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
