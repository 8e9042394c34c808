#include "gateway/detail/gateway_impl.h"

#include <utility>

namespace sycamoretray
{

using detail::fullRetryDelay;
using detail::shortRetryAfter;
using detail::usualRetryAfter;

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
    waiting_request &subject = *requests.at(found->second);
    attempts.erase(found);
    const endpoint_life endpoint = subject.endpoint;
    returnPermit(subject, permitResult(reply), now);
    noteReply(subject, reply, now);
    settleReply(subject, std::move(reply), now);
    pump(detail::pool_key(endpoint), now);
    if (const detail::gate_entry *gate = gateOf(endpoint)) {
        pump(detail::pool_key(gate->gate.entry().service), now);
    }
    forgetUnlisted();
}

void gateway::impl::noteReply(const waiting_request &subject, const endpoint_reply &reply, monotonic_time now)
{
    detail::gate_entry *gate = gateOf(subject.endpoint);
    const time_span taken = now - subject.sentAt;
    if (reply.kind != reply_kind::answered) {
        if (gate != nullptr) {
            gate->gate.failed(reply, now);
        }
        work.failed(subject.service, subject.endpoint.endpoint);
        return;
    }
    const time_span usual = times.of(subject.route);
    if (gate != nullptr) {
        gate->gate.answered(reply, taken, usual, now);
    }
    if (reply.response.status >= 500) {
        work.failed(subject.service, subject.endpoint.endpoint);
    } else {
        work.answered(subject.service, subject.endpoint.endpoint, taken, usual);
        times.answered(subject.route.name, taken);
    }
}

void gateway::impl::settleReply(waiting_request &subject, endpoint_reply reply, monotonic_time now)
{
    subject.state = request_state::parked;
    if (reply.kind == reply_kind::answered) {
        if (reply.response.status >= 500 && subject.route.idempotent && mayRepeat(subject, now)) {
            logAttempt(subject, reply, "repeat", now);
            place(subject, now);
            return;
        }
        gateway_answer answer;
        answer.response = std::move(reply.response);
        finish(subject, std::move(answer), now);
        return;
    }
    if (reply.kind == reply_kind::failed) {
        settleFailure(subject, reply, now);
    } else {
        settleNotRun(subject, reply, now);
    }
}

void gateway::impl::settleFailure(waiting_request &subject, const endpoint_reply &reply, monotonic_time now)
{
    subject.mayHaveRun = true;
    if (subject.route.idempotent && mayRepeat(subject, now)) {
        logAttempt(subject, reply, "repeat", now);
        place(subject, now);
        return;
    }
    logAttempt(subject, reply, "give_up", now);
    gateway_answer answer;
    answer.code = reply.code;
    finish(subject, std::move(answer), now);
}

void gateway::impl::settleNotRun(waiting_request &subject, const endpoint_reply &reply, monotonic_time now)
{
    // What was never sent costs no endpoint anything, so that it needs no allowance.
    const bool repeat = reply.sent ? hasTimeFor(subject, now) && allowance(subject.service).spend(now) : hasTimeFor(subject, now);
    logAttempt(subject, reply, repeat ? "repeat" : "give_up", now);
    const bool hadRoom = refusedWithRoom(reply);
    if (!repeat) {
        refuse(subject, result_code::refused_by_server, hadRoom ? shortRetryAfter : usualRetryAfter, now);
        return;
    }
    if (reply.misdirected && subject.byKey) {
        // The endpoint no longer holds the key: the record that says who does is on its way.
        subject.retryAt = now + fullRetryDelay;
    } else if (subject.byKey && !hadRoom) {
        subject.retryAt = now + (reply.sent ? fullRetryDelay : fullRetryDelay / 2);
    } else {
        place(subject, now);
        return;
    }
    subject.state = request_state::delayed;
    wakeAt(subject, subject.retryAt);
}

bool gateway::impl::hasTimeFor(const waiting_request &subject, monotonic_time now) const
{
    return now + times.of(subject.route) / 2 < subject.deadline;
}

bool gateway::impl::mayRepeat(const waiting_request &subject, monotonic_time now)
{
    return subject.attempts < subject.route.maxAttempts && hasTimeFor(subject, now) && allowance(subject.service).spend(now);
}

void gateway::impl::expire(waiting_request &subject, monotonic_time now)
{
    if (subject.state == request_state::in_flight) {
        abandon(subject, now);
        gateway_answer answer;
        answer.code = result_code::deadline_while_running;
        finish(subject, std::move(answer), now);
        return;
    }
    refuse(subject, result_code::deadline_unreachable, shortRetryAfter, now);
}

void gateway::impl::refuse(waiting_request &subject, result_code code, std::optional<time_span> retryAfter, monotonic_time now)
{
    gateway_answer answer;
    if (subject.mayHaveRun && outcomeClass(code) == request_outcome_class::not_run) {
        answer.code = result_code::server_connection_lost;
    } else {
        answer.code = code;
        answer.retryAfter = retryAfter;
    }
    finish(subject, std::move(answer), now);
}

void gateway::impl::finish(waiting_request &subject, gateway_answer answer, monotonic_time now)
{
    if (!answer.response) {
        log("request_refused",
            { { "id", subject.request.id.value() },
              { "route", subject.route.name },
              { "service", subject.service.value() },
              { "key", subject.request.key ? std::to_string(subject.request.key->value()) : "" },
              { "code", std::string(resultName(answer.code)) },
              { "endpoint", subject.endpoint.endpoint.value() },
              { "attempts", std::to_string(subject.attempts) },
              { "held_ms", milliseconds(now - subject.arrived) },
              { "config", routes ? std::to_string(routes->version()) : "" } });
    }
    withdraw(subject, now);
    const auto answerFunction = std::move(subject.answer);
    remove(subject);
    answerFunction(std::move(answer));
}

void gateway::impl::logAttempt(const waiting_request &subject, const endpoint_reply &reply, std::string_view decision, monotonic_time now)
{
    log("attempt_failed",
        { { "id", subject.request.id.value() },
          { "endpoint", subject.endpoint.endpoint.value() },
          { "code", std::string(resultName(reply.code)) },
          { "status", std::to_string(reply.response.status) },
          { "sent", reply.sent ? "true" : "false" },
          { "attempt", std::to_string(subject.attempts) },
          { "taken_ms", milliseconds(now - subject.sentAt) },
          { "decision", std::string(decision) } });
}

void gateway::impl::abandon(waiting_request &subject, monotonic_time now)
{
    returnPermit(subject, {}, now);
    attempts.erase(subject.attempt);
    port.abort(subject.attempt);
    if (detail::gate_entry *gate = gateOf(subject.endpoint)) {
        gate->gate.aborted({}, {});
    }
}

} // namespace sycamoretray
