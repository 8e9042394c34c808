#pragma once

#include "executor/serial_executor.h"
#include "gateway/gateway.h"
#include "http_client/http_connection_pool.h"
#include "http_message/resource_budget.h"
#include "key_ownership/assigner_actions.h"

#include <functional>
#include <memory>

namespace sycamoretray
{

/** Called with the outcome of an order. */
using order_callback = std::function<void(order_id order, order_reply reply)>;

/** Functions that are called with what happens at endpoints. They must not use the connections. */
struct endpoint_observer {
    std::function<void(const network_address &endpoint, connection_event event)> connectionEvent;
    /** A caller's request is sent, or waits for a connection. */
    std::function<void(const network_address &endpoint)> requestSent;
    /** A caller's request has ended in any way. */
    std::function<void(const network_address &endpoint)> requestFinished;
};

/**
 * Connections to endpoints, for callers' requests and for orders: grants and releases of keys, and probes.
 *
 * Thread safety: none; all calls are made on the strand of the executor, and callbacks run on it.
 */
class endpoint_connections : public endpoint_port
{
public:
    /** @param budget  limits the memory of answers that are being received, over all endpoints */
    endpoint_connections(serial_executor executor, std::shared_ptr<resource_budget> budget, endpoint_observer observer);
    ~endpoint_connections() override;
    endpoint_connections(const endpoint_connections &) = delete;
    endpoint_connections &operator=(const endpoint_connections &) = delete;

    /** Sets the handler for the outcomes of requests. Call it before the first send(). */
    void setReplyHandler(std::function<void(endpoint_attempt_id, endpoint_reply)> handler);

    void send(endpoint_attempt_id attempt, const endpoint_entry &endpoint, const gateway_request &request, time_span timeLeft) override;
    void abort(endpoint_attempt_id attempt) override;

    void send(const send_grant &order, order_callback done);
    void send(const send_release &order, order_callback done);
    void send(const probe_endpoint &order, const std::string &healthPath, order_callback done);

    /** Closes the connections on which grants are sent. What has not been sent yet is discarded, and no callback of a grant runs afterwards. */
    void closeGrantConnections();

    /** Closes connections to endpoints that have not been used for a while. */
    void closeUnused(monotonic_time now);

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
