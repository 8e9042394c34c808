#pragma once

#include "base/ids.h"
#include "executor/serial_executor.h"
#include "gateway/forwarding_port.h"
#include "http_message/resource_budget.h"
#include "observability/metrics.h"
#include "permits/coordinator_ranking.h"

#include <functional>
#include <memory>

namespace sycamoretray
{

/**
 * Forwards callers' requests to other instances, over HTTP at their internal addresses.
 *
 * Thread safety: none; all calls are made on the strand of the executor, and callbacks run on it.
 */
class request_forwarder : public forwarding_port
{
public:
    /**
     * @param self  internal address of this instance
     * @param zone  availability zone of this instance, whose other instances are preferred
     * @param budget  limits the memory of answers that are being received
     */
    request_forwarder(serial_executor executor,
                      network_address self,
                      availability_zone zone,
                      std::shared_ptr<resource_budget> budget,
                      metrics_registry &metrics);
    ~request_forwarder() override;
    request_forwarder(const request_forwarder &) = delete;
    request_forwarder &operator=(const request_forwarder &) = delete;

    /** Sets the handler for the outcomes. Call it before the first forward(). */
    void setReplyHandler(std::function<void(forward_id id, forward_reply reply)> handler);

    /** Sets the running instances; this one may be among them. */
    void setInstances(const coordinator_candidates &instances);

    bool forward(forward_id id, const gateway_request &request, const forward_mark &mark, time_span timeLeft) override;
    void abort(forward_id id) override;

    /** Closes connections to instances that have not been used for a while. */
    void closeUnused(monotonic_time now);

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
