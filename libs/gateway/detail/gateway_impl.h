#pragma once

#include "gateway/detail/gateway_state.h"
#include "gateway/gateway.h"

#include <optional>

namespace sycamoretray
{

namespace detail
{

// A request that has less time than this left would only be cancelled at the endpoint.
inline constexpr time_span leastTimeLeft = std::chrono::milliseconds(15);
// A full endpoint is asked again after this time.
inline constexpr time_span fullRetryDelay = std::chrono::milliseconds(60);
// Times after which refused callers are told to come back: for a place that may be free at once, for one that takes a request's time, and
// the longest, beyond which hardly any caller waits.
inline constexpr time_span shortRetryAfter = std::chrono::milliseconds(150);
inline constexpr time_span usualRetryAfter = std::chrono::milliseconds(400);
inline constexpr time_span longestRetryAfter = std::chrono::seconds(2);

} // namespace detail

/** Decisions of a gateway about its requests. */
struct gateway::impl : detail::gateway_state {
    using waiting_request = detail::waiting_request;
    using request_state = detail::request_state;

    // Arrival, time, and changes of what is known. Defined in gateway.cpp.
    impl(gateway_settings givenSettings, endpoint_port &givenPort, gateway_log givenLog);
    gateway_request_id submit(gateway_request request, std::function<void(gateway_answer)> answer, monotonic_time now);
    void accept(waiting_request &subject, monotonic_time now);
    /** Sends the request, queues it, or refuses it. */
    void place(waiting_request &subject, monotonic_time now);
    void placeByKey(waiting_request &subject, monotonic_time now);
    void placeAnywhere(waiting_request &subject, monotonic_time now);
    void enqueue(waiting_request &subject, const detail::pool_key &pool, monotonic_time now);
    void cancel(gateway_request_id id, monotonic_time now);
    void advance(monotonic_time now);
    void wake(waiting_request &subject, monotonic_time now);
    /** Places again what waits for keys, after the owners or the endpoints changed. */
    void replaceWaiting(monotonic_time now);

    // Permits. Defined in gateway_permits.cpp.
    /** Returns false if no permit is needed. */
    bool askForPermit(waiting_request &subject, const detail::pool_key &pool, monotonic_time now);
    /** Time within which an answer is worth the work. */
    static time_span usefulTime(const waiting_request &subject, double lateness, monotonic_time now);
    /**
     * The own zone comes first, and the others if waiting there takes long. At last the request waits in its own zone as long as the answer is of use.
     * Returns false if no zone has endpoints.
     */
    bool chooseZone(const waiting_request &subject, permit_request &question);
    bool mayAskOtherZone(const waiting_request &subject);
    /** Takes the request that waits for @p permit, or returns nullptr. */
    waiting_request *takeAsking(permit_id permit);
    void permitGranted(permit_id permit, const endpoint_life &life, monotonic_time now);
    void permitRefused(permit_id permit, time_span retryAfter, monotonic_time now);
    void permitUnavailable(permit_id permit, monotonic_time now);
    /** Ends the wait for a permit. */
    void withdraw(waiting_request &subject, monotonic_time now);
    void returnPermit(waiting_request &subject, const permit_result &result, monotonic_time now);
    static permit_result permitResult(const endpoint_reply &reply);

    // Queues of this instance, and sending. Defined in gateway_sending.cpp.
    void enqueueHere(waiting_request &subject, const detail::pool_key &pool, monotonic_time now);
    /** Time until the requests before this one have been sent. */
    time_span expectedWait(const waiting_request &subject, const detail::pool_key &pool, monotonic_time now);
    void park(waiting_request &subject, const key_owner &owner, monotonic_time now);
    void pump(const detail::pool_key &pool, monotonic_time now);
    detail::gate_entry *chooseGate(const waiting_request &subject, const detail::pool_key &pool, monotonic_time now);
    void send(waiting_request &subject, detail::gate_entry &gate, monotonic_time now);
    void pumpAfter(const endpoint_life &endpoint, monotonic_time now);

    // Outcomes of attempts, and answers. Defined in gateway_replies.cpp.
    void replied(endpoint_attempt_id attempt, endpoint_reply reply, monotonic_time now);
    void noteReply(const waiting_request &subject, const endpoint_reply &reply, monotonic_time now);
    void settleReply(waiting_request &subject, endpoint_reply reply, monotonic_time now);
    void settleFailure(waiting_request &subject, const endpoint_reply &reply, monotonic_time now);
    void settleNotRun(waiting_request &subject, const endpoint_reply &reply, monotonic_time now);
    bool hasTimeFor(const waiting_request &subject, monotonic_time now) const;
    bool mayRepeat(const waiting_request &subject, monotonic_time now);
    void expire(waiting_request &subject, monotonic_time now);
    /** Ends a request without an answer of an endpoint. */
    void refuse(waiting_request &subject, result_code code, std::optional<time_span> retryAfter, monotonic_time now);
    void finish(waiting_request &subject, gateway_answer answer, monotonic_time now);
    void logAttempt(const waiting_request &subject, const endpoint_reply &reply, std::string_view decision, monotonic_time now);
    /** Gives up the attempt that is under way. */
    void abandon(waiting_request &subject, monotonic_time now);
};

} // namespace sycamoretray
