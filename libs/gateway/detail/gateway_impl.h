#pragma once

#include "gateway/detail/gateway_state.h"
#include "gateway/gateway.h"

#include <optional>

namespace sycamoretray
{

namespace detail
{

// A request with less time than this to its deadline is not sent, as it would only be cancelled at the endpoint.
inline constexpr time_span minTimeLeft = std::chrono::milliseconds(15);
// Delay before a retry at an endpoint that was full or unusable.
inline constexpr time_span fullEndpointRetryDelay = std::chrono::milliseconds(60);
// Retry-After values for refused requests: short if a slot may become free at once, default if that takes about the run time of a
// request, and the maximum, as hardly any caller waits longer.
inline constexpr time_span shortRetryAfter = std::chrono::milliseconds(150);
inline constexpr time_span defaultRetryAfter = std::chrono::milliseconds(400);
inline constexpr time_span maxRetryAfter = std::chrono::seconds(2);

} // namespace detail

/** Implements the decisions of a gateway about its requests. */
struct gateway::impl : detail::gateway_state {
    using unanswered_request = detail::unanswered_request;
    using request_state = detail::request_state;

    // Arrival of requests, timers, and changes of configuration. Defined in gateway.cpp.
    impl(gateway_settings givenSettings, endpoint_port &givenPort, gateway_log givenLog);
    gateway_request_id submit(gateway_request request, std::function<void(gateway_answer)> answer, monotonic_time now);
    void accept(unanswered_request &pending, monotonic_time now);
    /** Sends the request, asks for a permit, queues the request, or refuses it. */
    void schedule(unanswered_request &pending, monotonic_time now);
    void scheduleToOwner(unanswered_request &pending, monotonic_time now);
    /** Delays the request until the owner of its key takes requests from this instance again, or refuses it if that is too late. */
    void waitForPause(unanswered_request &pending, monotonic_time until, monotonic_time now);
    void scheduleToAny(unanswered_request &pending, monotonic_time now);
    /** Asks for a permit if one is needed; otherwise adds the request to a queue of this instance. */
    void enqueue(unanswered_request &pending, const detail::queue_id &queueId, monotonic_time now);
    void cancel(gateway_request_id id, monotonic_time now);
    void advance(monotonic_time now);
    void wake(unanswered_request &pending, monotonic_time now);
    /** Schedules all requests of a queue of this instance again. */
    void rescheduleQueue(const detail::queue_id &queueId, monotonic_time now);
    /** Schedules waiting requests whose endpoint is no longer the right one, after the owners of keys or the endpoints changed. */
    void rescheduleWaiting(monotonic_time now);

    // Permits. Defined in gateway_permits.cpp.
    /** Asks for a permit and returns true, or returns false if none is needed. */
    bool askForPermit(unanswered_request &pending, const detail::queue_id &queueId, monotonic_time now);
    /** Time within which an answer is useful: up to the deadline or @p targetFactor times the latency target. */
    static time_span answerTimeLimit(const unanswered_request &pending, double targetFactor, monotonic_time now);
    /**
     * Sets the zone of a permit request: this instance's zone first, then other zones if the wait there is long. If all refuse, the
     * request waits in the first zone as long as the answer is useful. Returns false if no zone has endpoints.
     */
    bool chooseZone(const unanswered_request &pending, permit_request &permitRequest) const;
    /** Sets what is known of the request limits of the endpoints of the queue. */
    void setRequestLimit(permit_request &permitRequest, const detail::queue_id &queueId, monotonic_time now);
    /** Limits the endpoints that are cold. The requests that are queued here for one that was not limited before need permits from now on. */
    void limitColdEndpoints(monotonic_time now);
    bool mayAskOtherZone(const unanswered_request &pending) const;
    /** Zones in which a permit for the request can be asked for, in order. */
    std::vector<availability_zone> zonesFor(const unanswered_request &pending) const;
    /** Ends the wait for @p permit and returns its request, or nullptr if none waits for it. */
    unanswered_request *takeAwaitingPermit(permit_id permit);
    void permitGranted(permit_id permit, const endpoint_incarnation &incarnation, monotonic_time now);
    void permitRefused(permit_id permit, time_span retryAfter, monotonic_time now);
    void permitUnavailable(permit_id permit, monotonic_time now);
    void permitWithoutEndpoint(permit_id permit, monotonic_time now);
    /** Withdraws the request for a permit, or returns the permit. */
    void cancelPermit(unanswered_request &pending, monotonic_time now);
    void returnPermit(unanswered_request &pending, const permit_result &result, monotonic_time now);
    static permit_result permitResult(const endpoint_reply &reply);
    /** Returns @p result, or if the path was lost during the attempt, a result that says nothing about the endpoint. */
    permit_result lostAttemptResult(const unanswered_request &pending, const permit_result &result) const;
    /** Returns whether this instance was isolated at any time since the request was sent. */
    bool isPathDoubtful(const unanswered_request &pending) const;

    // Queues of this instance and sending of requests. Defined in gateway_sending.cpp.
    void enqueueLocally(unanswered_request &pending, const detail::queue_id &queueId, monotonic_time now);
    /** Expected time until the requests ahead of this one have been sent. */
    time_span expectedWait(const unanswered_request &pending, const detail::queue_id &queueId, monotonic_time now);
    /** Keeps the request until its key has a usable owner, or refuses it if that would take too long. */
    void park(unanswered_request &pending, const key_owner &owner, monotonic_time now);
    /** Sends requests of a queue, in order, as long as its endpoints can take them. */
    void sendQueued(const detail::queue_id &queueId, monotonic_time now);
    detail::tracked_endpoint *chooseEndpoint(const unanswered_request &pending, const detail::queue_id &queueId, monotonic_time now);
    void send(unanswered_request &pending, detail::tracked_endpoint &tracked, monotonic_time now);
    /** Returns whether the request can be finished before a planned stop of this instance ends. */
    bool canFinish(const unanswered_request &pending, monotonic_time now) const;
    /** Time until which an attempt may last: the request's deadline or the end of a planned stop. */
    monotonic_time attemptDeadline(const unanswered_request &pending) const;
    /** Counts the current attempt at an endpoint that names a request limit. */
    void recordLimitedSend(const unanswered_request &pending, const endpoint_limiter &limiter);
    /** Sends queued requests after capacity became free at an endpoint. */
    void sendQueuedFor(const endpoint_incarnation &endpoint, monotonic_time now);

    // Other instances, while this one is isolated. Defined in gateway_forwarding.cpp.
    void setIsolated(bool nowIsolated, monotonic_time now);
    void repeatUnanswered(monotonic_time now);
    /** Forwards the request, or refuses it if no other instance can take it. */
    void forward(unanswered_request &pending, monotonic_time now);
    void forwarded(forward_id id, forward_reply reply, monotonic_time now);
    void finishForwarded(unanswered_request &pending, forward_answered answered, monotonic_time now);
    void handleLostForward(unanswered_request &pending, monotonic_time now);
    void abortForward(unanswered_request &pending);

    // Requests that crash endpoints. Defined in gateway_crashes.cpp.
    request_fingerprint fingerprintOf(unanswered_request &pending) const;
    /** Returns for how long the request is refused, because it crashed endpoints; nothing if it may be sent. */
    std::optional<time_span> refusedAsSuspect(unanswered_request &pending, monotonic_time now);
    /** Records what the outcome of an attempt says about crashes. */
    void recordCrash(unanswered_request &pending, const endpoint_reply &reply, monotonic_time now);
    /** Returns whether the request is not retried, because it crashed endpoints. */
    bool isCrashSuspect(unanswered_request &pending, monotonic_time now) const;

    // Outcomes of attempts and answers to callers. Defined in gateway_replies.cpp.
    void replied(endpoint_attempt_id attempt, endpoint_reply reply, monotonic_time now);
    /** Records what an attempt without a permit shows about an endpoint of a service that is not divided by key. */
    void recordOutcome(const unanswered_request &pending, attempt_outcome outcome, monotonic_time now);
    /** Returns whether the attempt in flight had far more than its typical run time, until the deadline of the request. */
    bool hasTimedOut(const unanswered_request &pending, monotonic_time now) const;
    void logPause(const endpoint_incarnation &endpoint, const endpoint_reply &reply) const;
    void recordReply(const unanswered_request &pending, const endpoint_reply &reply, monotonic_time now);
    /** Logs a change of the endpoint's request limit. If it had none before, the requests queued for it need permits from now on. */
    void handleRequestLimit(const endpoint_incarnation &endpoint, const std::optional<request_rate> &before, monotonic_time now);
    void handleReply(unanswered_request &pending, endpoint_reply reply, monotonic_time now);
    void handleFailure(unanswered_request &pending, const endpoint_reply &reply, monotonic_time now);
    void handleNotRun(unanswered_request &pending, const endpoint_reply &reply, monotonic_time now);
    bool hasTimeFor(const unanswered_request &pending, monotonic_time now) const;
    /** Checks all limits for a retry and takes it from the retry budget. */
    bool mayRetry(unanswered_request &pending, monotonic_time now);
    void expire(unanswered_request &pending, monotonic_time now);
    /** Answers a request with a result code. A request that may have run is never reported as not run. */
    void refuse(unanswered_request &pending, result_code code, std::optional<time_span> retryAfter, monotonic_time now);
    void finish(unanswered_request &pending, gateway_answer answer, monotonic_time now);
    void logAttempt(const unanswered_request &pending, const endpoint_reply &reply, std::string_view decision, monotonic_time now);
    /** Aborts the attempt that is in flight. */
    void abortAttempt(unanswered_request &pending, monotonic_time now);
};

} // namespace sycamoretray
