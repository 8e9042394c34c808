#pragma once

#include "base/ids.h"
#include "directory/endpoint_directory.h"
#include "executor/serial_executor.h"
#include "gateway/endpoint_isolation_detector.h"
#include "http_client/http_connection_pool.h"

#include <functional>
#include <map>
#include <memory>

namespace sycamoretray
{

/**
 * Watches whether this instance reaches endpoints: passes what happens to connections to an endpoint_isolation_detector and probes the
 * endpoints that it names.
 *
 * Thread safety: none; used on the strand of the executor.
 */
class isolation_monitor
{
public:
    /**
     * @param probed  called with the outcome of each probe
     * @param changed  called when the isolation begins or ends, never from within another call
     */
    isolation_monitor(serial_executor executor,
                      std::function<void(const network_address &endpoint, connection_event event)> probed,
                      std::function<void(bool isolated)> changed);
    ~isolation_monitor();
    isolation_monitor(const isolation_monitor &) = delete;
    isolation_monitor &operator=(const isolation_monitor &) = delete;

    void setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints);

    /** A request to @p endpoint begins. */
    void requestSent(const network_address &endpoint);

    /** A request to @p endpoint has ended in any way. */
    void requestFinished(const network_address &endpoint);

    /** Takes an event of a connection to @p endpoint. */
    void record(const network_address &endpoint, connection_event event);

    bool isIsolated() const noexcept;

    /** True if isolated and nothing was heard of any endpoint for a while, on established connections either. */
    bool isSilent() const;

    /** True if the isolation was detected at least @p duration ago. */
    bool isIsolatedFor(time_span duration) const;

    /** True while isolated, or while it is being found out. */
    bool isSuspicious() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
