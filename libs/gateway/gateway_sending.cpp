#include "gateway/detail/gateway_impl.h"

#include <algorithm>
#include <iterator>

namespace sycamoretray
{

using detail::maxRetryAfter;
using detail::minTimeLeft;
using detail::shortRetryAfter;

namespace
{

// A request for a key without a known owner is refused after this share of its time to the deadline.
constexpr double maxParkedShare = 0.5;
// A request is sent to another zone if that saves more than this multiple of its typical run time. Traffic between zones costs
// money, and latency targets leave about twice the typical run time for waiting.
constexpr double otherZonePenaltyFactor = 1.5;
// A request is refused at once if the answer is expected to take longer than this multiple of its latency target.
constexpr double queueTargetFactor = 1.25;
// While the instance stops, a request is sent if this multiple of its typical run time is left. Run times vary by about this factor.
constexpr int stopRunTimeFactor = 3;

} // namespace

void gateway::impl::enqueueLocally(unanswered_request &pending, const detail::queue_id &queueId, monotonic_time now)
{
    const time_span wait = expectedWait(pending, queueId, now);
    // A late answer is of little use, and the request would delay all requests queued behind it.
    if (wait + runTimes.of(pending.route) > answerTimeLimit(pending, queueTargetFactor, now) && wait > time_span::zero()) {
        refuse(pending, result_code::deadline_unreachable, std::clamp(wait, shortRetryAfter, maxRetryAfter), now);
        return;
    }
    pending.state = request_state::queued;
    pending.queueId = queueId;
    queues[queueId].insert(detail::queue_position(pending));
    sendQueued(queueId, now);
}

time_span gateway::impl::expectedWait(const unanswered_request &pending, const detail::queue_id &queueId, monotonic_time now)
{
    const auto queue = queues.find(queueId);
    std::size_t ahead = 0;
    if (queue != queues.end()) {
        ahead = static_cast<std::size_t>(std::distance(queue->second.begin(), queue->second.lower_bound(detail::queue_position(pending))));
    }
    double rate = 0;
    bool anyCapacity = false;
    monotonic_time unblockedAt = monotonic_time::max();
    for (detail::tracked_endpoint *tracked : endpointsOf(queueId)) {
        if (!tracked->limiter.isListed() || (!pending.byKey && (!tracked->limiter.acceptsNewWork() || isEjected(pending.service, *tracked)))) {
            continue;
        }
        anyCapacity = anyCapacity || (ahead == 0 && tracked->limiter.hasCapacity(now));
        unblockedAt = std::min(unblockedAt, tracked->limiter.blockedUntil());
        const time_span each = tracked->limiter.expectedTime(runTimes.of(pending.route), now);
        const double perSecond = 1 / std::max(0.000001, std::chrono::duration<double>(each).count());
        const auto usable = tracked->limiter.usableRate(now);
        rate += usable ? std::min(perSecond, usable->value()) : perSecond;
    }
    if (anyCapacity || rate <= 0) {
        return time_span::zero();
    }
    const time_span untilUnblocked = unblockedAt == monotonic_time::max() ? time_span::zero() : std::max(time_span::zero(), unblockedAt - now);
    return std::max(untilUnblocked, std::chrono::duration_cast<time_span>(std::chrono::duration<double>((static_cast<double>(ahead) + 0.5) / rate)));
}

void gateway::impl::park(unanswered_request &pending, const key_owner &owner, monotonic_time now)
{
    if (owner.known && !owner.settled && owner.unservedFor > time_span::zero()) {
        const time_span left = owner.unservedFor - (now - ownershipSince);
        if (now + left + runTimes.of(pending.route) > pending.deadline) {
            refuse(pending, result_code::no_owner, std::clamp(left, shortRetryAfter, maxRetryAfter), now);
            return;
        }
    }
    if (pending.parkedUntil == monotonic_time{}) {
        pending.parkedUntil = now + std::chrono::duration_cast<time_span>((pending.deadline - now) * maxParkedShare);
    }
    if (now >= pending.parkedUntil) {
        refuse(pending, result_code::no_owner, shortRetryAfter, now);
        return;
    }
    pending.state = request_state::parked;
    parked.insert(pending.id);
    wakeAt(pending, pending.parkedUntil);
}

void gateway::impl::waitForPause(unanswered_request &pending, monotonic_time until, monotonic_time now)
{
    if (until + runTimes.of(pending.route) > now + answerTimeLimit(pending, queueTargetFactor, now)) {
        refuse(pending, result_code::deadline_unreachable, std::clamp(until - now, shortRetryAfter, maxRetryAfter), now);
        return;
    }
    pending.state = request_state::delayed;
    pending.retryAt = until;
    wakeAt(pending, until);
}

void gateway::impl::sendQueued(const detail::queue_id &queueId, monotonic_time now)
{
    while (true) {
        const auto queue = queues.find(queueId);
        if (queue == queues.end()) {
            return;
        }
        if (queue->second.empty()) {
            queues.erase(queue);
            return;
        }
        unanswered_request &next = *requests.at(queue->second.begin()->id);
        detail::tracked_endpoint *tracked = chooseEndpoint(next, queueId, now);
        if (tracked == nullptr) {
            wakeQueue(queueId, now);
            return;
        }
        queue->second.erase(queue->second.begin());
        send(next, *tracked, now);
    }
}

detail::tracked_endpoint *gateway::impl::chooseEndpoint(const unanswered_request &pending, const detail::queue_id &queueId, monotonic_time now)
{
    detail::tracked_endpoint *best = nullptr;
    time_span bestCost{};
    const time_span typicalRunTime = runTimes.of(pending.route);
    for (detail::tracked_endpoint *tracked : endpointsOf(queueId)) {
        const bool usable = pending.byKey ? acceptsKeyedRequests(*tracked, now) && tracked->limiter.hasCapacity(now) : tracked->limiter.takesNewWork(now);
        if (!usable) {
            continue;
        }
        if (!pending.byKey && isEjected(pending.service, *tracked)) {
            // A request that failed before is not risked again.
            if (pending.triedEndpoints.empty()
                && failures.at(pending.service).isTrialDue(tracked->limiter.entry().incarnation, pending.route.idempotent, now)) {
                return tracked;
            }
            continue;
        }
        time_span cost = tracked->limiter.expectedTime(typicalRunTime, now);
        if (tracked->limiter.entry().zone != settings.zone) {
            cost += std::chrono::duration_cast<time_span>(typicalRunTime * otherZonePenaltyFactor);
        }
        if (pending.triedEndpoints.contains(tracked->limiter.entry().incarnation.endpoint)) {
            cost += typicalRunTime * 4;
        }
        if (best == nullptr || cost < bestCost) {
            best = tracked;
            bestCost = cost;
        }
    }
    return best;
}

void gateway::impl::send(unanswered_request &pending, detail::tracked_endpoint &tracked, monotonic_time now)
{
    if (now + minTimeLeft >= pending.deadline) {
        pending.state = request_state::parked;
        expire(pending, now);
        return;
    }
    if (!canFinish(pending, now)) {
        pending.state = request_state::parked;
        refuse(pending, result_code::instance_stopping, shortRetryAfter, now);
        return;
    }
    pending.state = request_state::in_flight;
    pending.attempt = endpoint_attempt_id(++lastAttempt);
    pending.sentAt = now;
    pending.endpoint = tracked.limiter.entry().incarnation;
    ++pending.attempts;
    pending.triedEndpoints.insert(pending.endpoint.endpoint);
    attempts.emplace(pending.attempt, pending.id);
    tracked.limiter.sent(now);
    if (const auto found = failures.find(pending.service); found != failures.end() && !pending.byKey && !pending.permit) {
        found->second.sent(pending.endpoint);
    }
    recordLimitedSend(pending, tracked.limiter);
    port.send(pending.attempt, tracked.limiter.entry(), pending.request, attemptDeadline(pending) - now);
}

monotonic_time gateway::impl::attemptDeadline(const unanswered_request &pending) const
{
    return stop ? std::min(pending.deadline, stop->end) : pending.deadline;
}

bool gateway::impl::canFinish(const unanswered_request &pending, monotonic_time now) const
{
    if (!stop) {
        return true;
    }
    if (pending.arrived >= stop->outOfRotation) {
        return pending.deadline <= stop->end;
    }
    return now + std::max(minTimeLeft, runTimes.of(pending.route) * stopRunTimeFactor) < stop->end;
}

void gateway::impl::recordLimitedSend(const unanswered_request &pending, const endpoint_limiter &limiter)
{
    if (!limiter.requestLimit()) {
        return;
    }
    limited_endpoint_load &load = limitedLoads[pending.endpoint.endpoint];
    load.endpoint = pending.endpoint.endpoint;
    load.limit = *limiter.requestLimit();
    ++(pending.attempts == 1 ? load.firstAttempts : load.retries);
}

void gateway::impl::sendQueuedFor(const endpoint_incarnation &endpoint, monotonic_time now)
{
    sendQueued(detail::queue_id(endpoint), now);
    if (const detail::tracked_endpoint *tracked = findEndpoint(endpoint)) {
        sendQueued(detail::queue_id(tracked->limiter.entry().service), now);
    }
}

} // namespace sycamoretray
