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
#include "sycamoretrayd/unkeyed_server_chooser.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sycamoretray
{

/** Components and functions that the entry router uses. */
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
 * Accepts callers' requests, forwards each to the home of its server, and answers it exactly once.
 *
 * The home of a server is the instance that queues its requests. A request that did not run because the routing table was out
 * of date is retried for a bounded time. A request whose attempt was lost is retried if it is idempotent and the retry budget
 * permits.
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

    /** Starts the timers for retries and for overdue answers. */
    void start();

    /** Handles a caller's request. */
    void handle(http_request request, std::shared_ptr<answer_handle> handle);

    /** The result of a forwarded request from its home. It is ignored if the request does not wait for this home. */
    void forwardCompleted(std::uint64_t forwardId, const incarnation_id &home, result_code code, const std::shared_ptr<const answer_payload> &answer);

    /** The connection to or from @p peer broke. Requests forwarded to it end as home_lost or are retried. */
    void peerDisconnected(const incarnation_id &peer);

    /** The routing store has a new table. Retries all deferred requests. */
    void routingChanged();

    /** Accepts new requests, or answers them with @p reason. */
    void setAccepting(bool accept, result_code reason);

    /** Sets the load of a server whose service is not divided by key. */
    void loadReported(const service_id &service, const server_id &server, std::uint32_t queued, std::uint32_t running);

    /** Number of requests that are not answered yet. */
    std::size_t openRequests() const;

    /** Answers all open requests with an error, at the end of a graceful shutdown. */
    void failOpenRequests();

private:
    using request_pointer = std::shared_ptr<entry_request>;

    /** A request that is retried after a delay or a routing change. */
    struct deferred_request {
        request_pointer request;
        monotonic_time notBefore;
        /** Result of the last attempt. */
        result_code code = result_code::no_owner;
    };

    void route(const request_pointer &request);
    result_code chooseServer(const routed_service &service, const request_pointer &request, server_route &route);
    void forward(const request_pointer &request, const server_route &route);
    /** Defers the request for a retry; answers it with @p code if no time or no space is left. */
    void deferOrFinish(const request_pointer &request, result_code code);
    /** Retries a request that may have run if it is idempotent and the retry budget permits; otherwise answers it. */
    void handleLostAttempt(const request_pointer &request, result_code code);
    void cancelAtHome(const pending_forward &forward);
    void handleCallerGone(const request_pointer &request);
    void finish(const request_pointer &request, result_code code, const std::shared_ptr<const answer_payload> &answer = nullptr);
    void countResult(result_code code);
    void handleOutcome(const pending_forward &forward, result_code code, const std::shared_ptr<const answer_payload> &answer);
    /** Routes the deferred requests that are due, or all of them. */
    void retryDeferred(bool all);
    /** Ends forwards whose answer is overdue or whose home is unresponsive. */
    void sweep();
    void failUnresponsiveHomes(monotonic_time now);

    serial_executor m_executor;
    entry_environment m_environment;
    forward_table m_forwards;
    unkeyed_server_chooser m_unkeyedChooser;
    std::atomic<std::uint64_t> m_lastForwardId{ 0 };
    /** Result for new requests; ok while they are accepted. */
    std::atomic<int> m_refusalCode{ static_cast<int>(result_code::configuration_stale) };
    std::atomic<std::size_t> m_openRequests{ 0 };
    mutable std::mutex m_deferredMutex;
    std::vector<deferred_request> m_deferred;
    std::mutex m_retryBudgetMutex;
    retry_budget m_retryBudget;
    metric_distribution *m_latency = nullptr;
    std::map<result_code, metric_counter *> m_resultCounters;
    metric_counter *m_retries = nullptr;
    metric_counter *m_lateAnswers = nullptr;
};

} // namespace sycamoretray
