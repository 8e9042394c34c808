#pragma once

#include "base/ids.h"
#include "executor/serial_executor.h"
#include "http_client/http_connection_pool.h"

#include <functional>
#include <memory>

namespace sycamoretray
{

/**
 * Finds out whether endpoints accept connections. A probe costs an endpoint a connection, on which nothing is sent.
 *
 * Thread safety: none; used on the strand of the executor.
 */
class endpoint_prober
{
public:
    /** @param done  called with opened, refused or connect_timed_out for each probe, never from within probe() */
    endpoint_prober(serial_executor executor, std::function<void(const network_address &endpoint, connection_event event)> done);
    ~endpoint_prober();
    endpoint_prober(const endpoint_prober &) = delete;
    endpoint_prober &operator=(const endpoint_prober &) = delete;

    /** Opens a connection to @p endpoint, for 250 ms at most, and closes it. */
    void probe(const network_address &endpoint);

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
