#pragma once

#include "dispatch/retry_budget.h"
#include "executor/serial_executor.h"
#include "http_entry/http_server.h"
#include "observability/metrics.h"
#include "sycamoretrayd/entry_request.h"
#include "sycamoretrayd/forward_table.h"
#include "sycamoretrayd/home_registry.h"
#include "sycamoretrayd/peer_directory.h"
#include "sycamoretrayd/routing_store.h"
#include "sycamoretrayd/undivided_chooser.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sycamoretray
{

/** What the entry router needs from the daemon. */
struct entry_environment {
    incarnation_id self;
    std::shared_ptr<routing_store> routing;
    std::shared_ptr<home_registry> homes;
    std::shared_ptr<peer_directory> peers;
    /** Sends a serialized pb::PeerMessage. */
    std::function<void(const incarnation_id &, const network_address &, std::string)> send;
    metrics_registry *metrics = nullptr;
};

/**
 * Takes callers' requests, sends each to the home of its server, and answers it exactly once.
 *
 * Requests that were certainly not run because the routing was out of date wait for a new routing table for a bounded time.
 *
 * Thread safety: any thread.
 */
class entry_router : public std::enable_shared_from_this<entry_router>
{
public:
    entry_router(serial_executor executor, entry_environment environment);
    ~entry_router();
    entry_router(const entry_router &) = delete;
    entry_router &operator=(const entry_router &) = delete;

    /** Starts the timers. */
    void start();

    /** Handles a caller's request. */
    void handle(http_request request, std::shared_ptr<answer_slot> slot);

    /** A home's outcome for a forwarded request. Outcomes for requests that do not wait for this home are dropped. */
    void completed(std::uint64_t forwardId, const incarnation_id &home, result_code code, const std::shared_ptr<const answer_payload> &answer);

    /** The connection to or from @p peer broke: what it was working on is lost. */
    void peerLost(const incarnation_id &peer);

    /** A new routing table is in the store. */
    void routingChanged();

    void setAccepting(bool accept, result_code reason);

    /** Load of a server of a service that is not divided by key. */
    void loadReported(const service_id &service, const server_id &server, std::uint32_t queued, std::uint32_t running);

    /** Requests that are not answered yet. */
    std::size_t openRequests() const;

    /** Answers everything that is still open, for the end of a graceful shutdown. */
    void giveUp();

private:
    using request_pointer = std::shared_ptr<entry_request>;

    struct parked_request {
        request_pointer request;
        monotonic_time notBefore;
        result_code code = result_code::no_owner;
    };

    void route(const request_pointer &request);
    result_code chooseServer(const routed_service &service, const request_pointer &request, server_route &route);
    void forward(const request_pointer &request, const server_route &route);
    void refused(const request_pointer &request, result_code code);
    void lost(const request_pointer &request, result_code code);
    void cancelLost(const pending_forward &forward);
    void callerGone(const request_pointer &request);
    void finish(const request_pointer &request, result_code code, const std::shared_ptr<const answer_payload> &answer = nullptr);
    void countResult(result_code code);
    void outcome(const pending_forward &forward, result_code code, const std::shared_ptr<const answer_payload> &answer);
    void unparkDue(bool all);
    void sweep();
    void loseSilentHomes(monotonic_time now);

    serial_executor m_executor;
    entry_environment m_environment;
    forward_table m_forwards;
    undivided_chooser m_undivided;
    std::atomic<std::uint64_t> m_lastForwardId{ 0 };
    std::atomic<int> m_refusal{ static_cast<int>(result_code::configuration_stale) };
    std::atomic<std::size_t> m_open{ 0 };
    mutable std::mutex m_parkMutex;
    std::vector<parked_request> m_parked;
    std::mutex m_budgetMutex;
    retry_budget m_budget;
    metric_distribution *m_latency = nullptr;
    std::map<result_code, metric_counter *> m_resultCounters;
    metric_counter *m_retries = nullptr;
    metric_counter *m_dropped = nullptr;
};

} // namespace sycamoretray
