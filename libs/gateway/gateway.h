#pragma once

#include "directory/endpoint_directory.h"
#include "directory/request_routes.h"
#include "gateway/crash_tracker.h"
#include "gateway/forwarding_port.h"
#include "gateway/gateway_request.h"
#include "gateway/permit_source.h"
#include "gateway/service_retry_budget.h"
#include "key_ownership/key_load.h"
#include "key_ownership/ownership_view.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sycamoretray
{

/** Identifies a request within a gateway. */
using gateway_request_id = strong_value<struct gateway_request_id_tag, std::uint64_t>;

/** Identifies one attempt at an endpoint. */
using endpoint_attempt_id = strong_value<struct endpoint_attempt_id_tag, std::uint64_t>;

/** Sends requests to endpoints on behalf of a gateway. */
class endpoint_port
{
public:
    virtual ~endpoint_port() = default;

    /**
     * Sends @p request to @p endpoint. The outcome is passed to gateway::replied(), but never from within this call.
     *
     * @param timeLeft  time after which the attempt is aborted
     */
    virtual void send(endpoint_attempt_id attempt, const endpoint_entry &endpoint, const gateway_request &request, time_span timeLeft) = 0;

    /** Aborts an attempt and closes its connection, so that the endpoint stops running it. gateway::replied() is not called. */
    virtual void abort(endpoint_attempt_id attempt) = 0;
};

struct gateway_settings {
    instance_id instance;
    availability_zone zone;
    service_retry_budget_settings retries;
    /** Time for which a draining endpoint still gets requests for keys that it holds; shorter than the deployment's drain limit. */
    time_span drainTime = std::chrono::milliseconds(1300);
    /**
     * Time for which an endpoint of an evacuated zone still gets requests for keys that it holds, counted from when this instance learned of
     * the evacuation; shorter than the deployment's limit.
     */
    time_span evacuationTime = std::chrono::seconds(3);
    /** New requests are refused beyond this number of unanswered ones. */
    std::size_t maxUnansweredRequests = 4096;
    /** Permit ids start above this number. Differs between incarnations of an instance, as coordinators may still know permits of an earlier one. */
    std::uint64_t permitIdBase = 0;
};

/** Times of the planned stop of an instance. */
struct planned_stop {
    /** Requests in flight are given up then. */
    monotonic_time end{};
    /** Load balancers send no new connections from then on. */
    monotonic_time outOfRotation{};
};

/** Requests that one instance sent to an endpoint that names a request limit. */
struct limited_endpoint_load {
    endpoint_id endpoint;
    request_rate limit;
    /** First attempts of callers' requests. */
    std::uint32_t firstAttempts = 0;
    /** Attempts at requests that were sent before, to this or another endpoint. */
    std::uint32_t retries = 0;
};

/** Receives decisions about requests for the event log. */
using gateway_log = std::function<void(std::string_view event, const std::vector<std::pair<std::string, std::string>> &fields)>;

/**
 * Routes callers' requests: decides to which endpoint each is sent and when, whether it is retried, and what the caller is answered.
 *
 * Performs no I/O itself: time and events are passed in, and requests are sent through an endpoint_port. Thread safety: none.
 */
class gateway
{
public:
    gateway(gateway_settings settings, endpoint_port &port, gateway_log log);
    ~gateway();
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;

    /** Sets the source of permits; requests for which permit_source::isUsed() is true wait for one. Call it before the first submit(). */
    void setPermits(permit_source &source);

    /** Sets the port by which requests are forwarded while isolated. Call it before the first submit(). */
    void setForwarding(forwarding_port &port);

    /**
     * Sets whether this instance is isolated. While it is, requests that were not sent are forwarded to other instances; if none takes
     * them, and if they were forwarded to this instance, they are refused with instance_isolated. What happens to its attempts says nothing
     * about endpoints then, unless they respond.
     */
    void setIsolated(bool isolated, monotonic_time now);

    /**
     * Sets the function that is called with each answer of an endpoint that says that it leaves. It may call setEndpoints(). Call it
     * before the first submit().
     */
    void setLeavingHandler(std::function<void(const endpoint_incarnation &)> handler);

    /**
     * Repeats the idempotent requests that are in flight, within the limits for retries, as nothing is heard of any endpoint.
     * Precondition: isolated.
     */
    void repeatUnanswered(monotonic_time now);

    /** Sets a lower bound for the number of instances that share the retry budget. */
    void setInstances(std::uint32_t count);

    void setRoutes(std::shared_ptr<const request_routes> routes, monotonic_time now);
    void setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints, monotonic_time now);
    void setOwnership(const ownership_view &ownership, monotonic_time now);

    /**
     * Accepts a request. @p answer is called once, possibly from within this call, unless the request is cancelled.
     *
     * @return an id for cancel()
     */
    gateway_request_id submit(gateway_request request, std::function<void(gateway_answer)> answer, monotonic_time now);

    /** Drops a request whose caller has disconnected; it gets no answer. Unknown ids are ignored. */
    void cancel(gateway_request_id request, monotonic_time now);

    /** Handles the outcome of an attempt. Unknown attempts are ignored. */
    void replied(endpoint_attempt_id attempt, endpoint_reply reply, monotonic_time now);

    /** Handles the outcome of forwarding a request. Unknown ids are ignored. */
    void forwarded(forward_id id, forward_reply reply, monotonic_time now);

    /** Sends the request that asked for @p permit to @p endpoint. If the endpoint is unusable, returns the permit and asks again later. */
    void permitGranted(permit_id permit, const endpoint_id &endpoint, std::uint64_t startedAtMs, monotonic_time now);

    /** Asks in another zone or refuses the request, as @p permit would not be granted in time for the answer to be useful. */
    void permitRefused(permit_id permit, time_span retryAfter, monotonic_time now);

    /** Sends or queues the request without a permit, as no coordinator can decide about @p permit. */
    void permitUnavailable(permit_id permit, monotonic_time now);

    /**
     * Asks in another zone, as the coordinator for @p permit knows no endpoint in this one. For a key, or if no zone has one after some
     * attempts, sends or queues the request without a permit.
     */
    void permitWithoutEndpoint(permit_id permit, monotonic_time now);

    /** Processes all timers that have expired. Call it at nextDue(). */
    void advance(monotonic_time now);

    /** Time of the next call to advance(), which may be in the past; the maximum if nothing is due. */
    monotonic_time nextDue() const;

    /**
     * Limits requests to the time until the end of a planned stop. A request that cannot be finished by then is not sent, but refused
     * with instance_stopping. For a request that arrives while the instance is in rotation, its typical run time decides;
     * for a later one, its deadline.
     */
    void setStop(const planned_stop &stop);

    /** Answers all requests: with instance_stopping if not in flight, otherwise with a code that says that the outcome is unknown. */
    void finishAll(monotonic_time now);

    /** Number of requests that have not been answered. */
    std::size_t unfinished() const noexcept;

    /** Returns the demand for keys and the run times and failures of endpoints since the last call. */
    std::vector<load_report> takeLoadReports();

    /** Returns the requests sent to endpoints with a request limit since the last call; endpoints without requests are left out. */
    std::vector<limited_endpoint_load> takeLimitedEndpointLoads();

    /** Adds crashes that another instance counted. */
    void addCrashes(const std::vector<crash_report> &reports, monotonic_time now);

    /** Returns the crashes that other instances have to know now; see crash_tracker::takeDueReports(). */
    std::vector<crash_report> takeCrashReports(monotonic_time now);

    /** Number of requests that are suspected to crash endpoints. */
    std::size_t crashSuspects() const noexcept;

    /** Number of endpoints that name a request limit at present. */
    std::size_t limitedEndpoints() const noexcept;

    /** Number of endpoints that this instance ejected because of failures of requests that it sent without a permit. */
    std::size_t ejectedEndpoints() const noexcept;

    /** Returns the state as JSON. */
    std::string dump(monotonic_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
