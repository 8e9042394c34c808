#pragma once

#include "settings/daemon_settings.h"

#include <memory>
#include <string>

namespace sycamoretray
{

/**
 * One instance of the request router.
 *
 * The entry router and the home dispatchers run on a pool of worker threads. The control loop and the administration API have
 * a thread of their own, so that leases are renewed in time when requests use all workers.
 *
 * Thread safety: run() is called once; the other methods from any thread.
 */
class instance_daemon
{
public:
    /**
     * @param peerSecret  secret that all instances share
     * @param adminToken  bearer token of the administration API; empty if none is required
     */
    instance_daemon(daemon_settings settings, std::string peerSecret, std::string adminToken);
    ~instance_daemon();
    instance_daemon(const instance_daemon &) = delete;
    instance_daemon &operator=(const instance_daemon &) = delete;

    /** Serves until the graceful shutdown is complete. Returns the exit status: 0, or 1 if an address cannot be used. */
    int run();

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
