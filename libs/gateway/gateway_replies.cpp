#include "gateway/detail/gateway_impl.h"

#include <utility>

namespace sycamoretray
{

using detail::defaultRetryAfter;
using detail::fullEndpointRetryDelay;
using detail::shortRetryAfter;

namespace
{

std::string milliseconds(time_span span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

void gateway::impl::replied(endpoint_attempt_id attempt, endpoint_reply reply, monotonic_time now)
{
    const auto found = attempts.find(attempt);
    if (found == attempts.end()) {
        return;
    }
    unanswered_request &pending = *requests.at(found->second);
    attempts.erase(found);
    const endpoint_incarnation endpoint = pending.endpoint;
    if (!pending.permit) {
        const bool counts = hasResponse(reply) || !isPathDoubtful(pending);
        recordOutcome(pending, counts ? outcomeOf(reply) : attempt_outcome::inconclusive, now);
    }
    returnPermit(pending, hasResponse(reply) ? permitResult(reply) : lostAttemptResult(pending, permitResult(reply)), now);
    if (reply.leaving && endpointLeaves) {
        endpointLeaves(endpoint);
    }
    const std::optional<request_rate> limitBefore = requestLimitOf(endpoint);
    const bool pauses = reply.pause.has_value();
    logPause(endpoint, reply);
    recordReply(pending, reply, now);
    recordCrash(pending, reply, now);
    loadRecorder.recordRequestLimit(pending.service, endpoint.endpoint, requestLimitOf(endpoint));
    handleReply(pending, std::move(reply), now);
    handleRequestLimit(endpoint, limitBefore, now);
    if (pauses) {
        // Those that cannot wait so long are refused.
        rescheduleQueue(detail::queue_id(endpoint), now);
    }
    sendQueued(detail::queue_id(endpoint), now);
    if (const detail::tracked_endpoint *tracked = findEndpoint(endpoint)) {
        sendQueued(detail::queue_id(tracked->limiter.entry().service), now);
    }
    removeUnlisted();
}

void gateway::impl::recordOutcome(const unanswered_request &pending, attempt_outcome outcome, monotonic_time now)
{
    const auto found = failures.find(pending.service);
    if (pending.byKey || found == failures.end()) {
        return;
    }
    // All attempts are those of this instance, so that it needs no name.
    found->second.ended(pending.endpoint, { network_address(), pending.sentAt }, outcome, now);
    for (const ejection_change &change : found->second.takeChanges()) {
        if (change.ejected) {
            log("endpoint_ejected", ejectionFields(change));
        } else {
            log("endpoint_readmitted", ejectionFields(change));
        }
    }
}

bool gateway::impl::hasTimedOut(const unanswered_request &pending, monotonic_time now) const
{
    // Run times vary by about this factor.
    constexpr int overlongFactor = 3;
    return now >= pending.deadline && now - pending.sentAt >= runTimes.of(pending.route) * overlongFactor;
}

void gateway::impl::logPause(const endpoint_incarnation &endpoint, const endpoint_reply &reply) const
{
    if (reply.pauseUnreadable) {
        log("endpoint_pause_unreadable", { { "endpoint", endpoint.endpoint.value() } });
    } else if (reply.pause) {
        log("endpoint_paused", { { "endpoint", endpoint.endpoint.value() }, { "ms", milliseconds(*reply.pause) } });
    }
}

void gateway::impl::recordReply(const unanswered_request &pending, const endpoint_reply &reply, monotonic_time now)
{
    detail::tracked_endpoint *tracked = findEndpoint(pending.endpoint);
    const time_span taken = now - pending.sentAt;
    if (!hasResponse(reply) && isPathDoubtful(pending)) {
        if (tracked != nullptr) {
            tracked->limiter.aborted({}, {});
        }
        return;
    }
    if (reply.kind != reply_kind::answered) {
        if (tracked != nullptr) {
            tracked->limiter.failed(reply, now);
        }
        if (reply.sent) {
            loadRecorder.recordFailure(pending.service, pending.endpoint.endpoint);
        }
        return;
    }
    const time_span typicalRunTime = runTimes.of(pending.route);
    if (tracked != nullptr) {
        tracked->limiter.answered(reply, taken, typicalRunTime, now);
    }
    if (reply.response.status >= 500) {
        loadRecorder.recordFailure(pending.service, pending.endpoint.endpoint);
    } else {
        loadRecorder.recordAnswer(pending.service, pending.endpoint.endpoint, taken, typicalRunTime);
        runTimes.record(pending.route.name, taken);
    }
}

void gateway::impl::handleRequestLimit(const endpoint_incarnation &endpoint, const std::optional<request_rate> &before, monotonic_time now)
{
    const std::optional<request_rate> limit = requestLimitOf(endpoint);
    if (limit == before) {
        return;
    }
    log("endpoint_request_limit", { { "endpoint", endpoint.endpoint.value() }, { "per_second", limit ? std::to_string(limit->value()) : "none" } });
    if (!before) {
        rescheduleQueue(detail::queue_id(endpoint), now);
        rescheduleQueue(detail::queue_id(findEndpoint(endpoint)->limiter.entry().service), now);
    }
}

void gateway::impl::handleReply(unanswered_request &pending, endpoint_reply reply, monotonic_time now)
{
    pending.state = request_state::parked;
    if (reply.kind == reply_kind::answered) {
        if (reply.response.status >= 500 && pending.route.idempotent && mayRetry(pending, now)) {
            logAttempt(pending, reply, "repeat", now);
            schedule(pending, now);
            return;
        }
        gateway_answer answer;
        answer.response = std::move(reply.response);
        finish(pending, std::move(answer), now);
        return;
    }
    if (reply.kind == reply_kind::failed) {
        handleFailure(pending, reply, now);
    } else {
        handleNotRun(pending, reply, now);
    }
}

void gateway::impl::handleFailure(unanswered_request &pending, const endpoint_reply &reply, monotonic_time now)
{
    pending.mayHaveRun = true;
    if (pending.route.idempotent && mayRetry(pending, now)) {
        logAttempt(pending, reply, "repeat", now);
        schedule(pending, now);
        return;
    }
    logAttempt(pending, reply, "give_up", now);
    gateway_answer answer;
    answer.code = reply.code;
    finish(pending, std::move(answer), now);
}

void gateway::impl::handleNotRun(unanswered_request &pending, const endpoint_reply &reply, monotonic_time now)
{
    // A request that was not sent put no load on an endpoint, so its retry does not count against the retry budget.
    const bool retry
        = reply.sent ? hasTimeFor(pending, now) && !isCrashSuspect(pending, now) && retryBudget(pending.service).spend(now) : hasTimeFor(pending, now);
    logAttempt(pending, reply, retry ? "repeat" : "give_up", now);
    const bool hadFreeSlots = refusedDespiteFreeSlots(reply);
    if (!retry) {
        refuse(pending, result_code::refused_by_server, hadFreeSlots ? shortRetryAfter : defaultRetryAfter, now);
        return;
    }
    if (isolated) {
        schedule(pending, now);
        return;
    }
    if (reply.misdirected && pending.byKey) {
        // The endpoint no longer holds the key. The retry waits for the ownership record that names the new owner.
        pending.retryAt = now + fullEndpointRetryDelay;
    } else if (pending.byKey && !hadFreeSlots) {
        pending.retryAt = now + (reply.sent ? fullEndpointRetryDelay : fullEndpointRetryDelay / 2);
    } else {
        schedule(pending, now);
        return;
    }
    pending.state = request_state::delayed;
    wakeAt(pending, pending.retryAt);
}

bool gateway::impl::hasTimeFor(const unanswered_request &pending, monotonic_time now) const
{
    return now + runTimes.of(pending.route) / 2 < pending.deadline;
}

bool gateway::impl::mayRetry(unanswered_request &pending, monotonic_time now)
{
    return pending.attempts < pending.route.maxAttempts && hasTimeFor(pending, now) && !isCrashSuspect(pending, now) && retryBudget(pending.service).spend(now);
}

void gateway::impl::expire(unanswered_request &pending, monotonic_time now)
{
    if (pending.state == request_state::in_flight || pending.state == request_state::forwarded) {
        if (pending.state == request_state::forwarded) {
            abortForward(pending);
        } else {
            abortAttempt(pending, now);
        }
        gateway_answer answer;
        answer.code = result_code::deadline_while_running;
        finish(pending, std::move(answer), now);
        return;
    }
    refuse(pending, result_code::deadline_unreachable, shortRetryAfter, now);
}

void gateway::impl::refuse(unanswered_request &pending, result_code code, std::optional<time_span> retryAfter, monotonic_time now)
{
    gateway_answer answer;
    if (pending.mayHaveRun && outcomeClass(code) == request_outcome_class::not_run) {
        answer.code = result_code::server_connection_lost;
    } else {
        answer.code = code;
        answer.retryAfter = retryAfter;
    }
    finish(pending, std::move(answer), now);
}

void gateway::impl::finish(unanswered_request &pending, gateway_answer answer, monotonic_time now)
{
    const bool leftToOther = pending.request.forwarded && answer.code == result_code::instance_isolated;
    if (!answer.response && !leftToOther) {
        log("request_refused",
            { { "id", pending.request.id.value() },
              { "route", pending.route.name },
              { "service", pending.service.value() },
              { "key", pending.request.key ? std::to_string(pending.request.key->value()) : "" },
              { "code", std::string(resultName(answer.code)) },
              { "endpoint", pending.endpoint.endpoint.value() },
              { "attempts", std::to_string(pending.attempts) },
              { "held_ms", milliseconds(now - pending.arrived) },
              { "config", routes ? std::to_string(routes->version()) : "" } });
    }
    cancelPermit(pending, now);
    const auto answerFunction = std::move(pending.answer);
    remove(pending);
    answerFunction(std::move(answer));
}

void gateway::impl::logAttempt(const unanswered_request &pending, const endpoint_reply &reply, std::string_view decision, monotonic_time now)
{
    log("attempt_failed",
        { { "id", pending.request.id.value() },
          { "endpoint", pending.endpoint.endpoint.value() },
          { "code", std::string(resultName(reply.code)) },
          { "status", std::to_string(reply.response.status) },
          { "sent", reply.sent ? "true" : "false" },
          { "attempt", std::to_string(pending.attempts) },
          { "taken_ms", milliseconds(now - pending.sentAt) },
          { "decision", std::string(decision) } });
}

void gateway::impl::abortAttempt(unanswered_request &pending, monotonic_time now)
{
    permit_result result;
    result.timedOut = hasTimedOut(pending, now);
    if (!pending.permit) {
        const bool timedOut = result.timedOut && !isPathDoubtful(pending);
        recordOutcome(pending, timedOut ? attempt_outcome::timed_out : attempt_outcome::inconclusive, now);
    }
    returnPermit(pending, lostAttemptResult(pending, result), now);
    attempts.erase(pending.attempt);
    port.abort(pending.attempt);
    if (detail::tracked_endpoint *tracked = findEndpoint(pending.endpoint)) {
        tracked->limiter.aborted({}, {});
    }
}

} // namespace sycamoretray
