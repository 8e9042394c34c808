#include "gateway/gateway.h"

#include "gateway/detail/gateway_impl.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

using detail::defaultRetryAfter;
using detail::maxRetryAfter;
using detail::minTimeLeft;
using detail::request_state;
using detail::shortRetryAfter;
using detail::unanswered_request;

gateway::impl::impl(gateway_settings givenSettings, endpoint_port &givenPort, gateway_log givenLog)
    : gateway_state(std::move(givenSettings), givenPort, std::move(givenLog))
{
}

gateway_request_id gateway::impl::submit(gateway_request request, std::function<void(gateway_answer)> answer, monotonic_time now)
{
    const gateway_request_id id(++lastRequest);
    auto owned = std::make_unique<unanswered_request>();
    unanswered_request &pending = *owned;
    pending.id = id;
    pending.request = std::move(request);
    pending.answer = std::move(answer);
    pending.arrived = now;
    pending.attempts = pending.request.forwarded.value_or(forward_mark{}).attempts;
    requests.emplace(id, std::move(owned));
    accept(pending, now);
    return id;
}

void gateway::impl::accept(unanswered_request &pending, monotonic_time now)
{
    // By an older configuration, a forwarded request could run at another service than the instance that accepted it chose.
    if (!routes || (pending.request.forwarded && routes->version() < pending.request.forwarded->configurationVersion)) {
        refuse(pending, result_code::configuration_stale, defaultRetryAfter, now);
        return;
    }
    const request_route *route = routes->find(pending.request.host, pending.request.path);
    if (route == nullptr) {
        refuse(pending, result_code::no_matching_service, std::nullopt, now);
        return;
    }
    pending.route = *route;
    pending.deadline = now + std::min(pending.request.timeLeft.value_or(route->timeout), route->timeout);
    pending.service = trafficSplits.choose(*route).service;
    const service_definition *definition = routes->service(pending.service);
    pending.byKey = definition != nullptr && definition->dividedByKey;
    if (!isolated) {
        retryBudget(pending.service).earn(now);
    }
    if (!canFinish(pending, now)) {
        refuse(pending, result_code::instance_stopping, shortRetryAfter, now);
        return;
    }
    if (const auto refusal = refusedAsSuspect(pending, now)) {
        refuse(pending, result_code::crash_suspect_delayed, *refusal, now);
        return;
    }
    if (pending.byKey && !pending.request.key) {
        refuse(pending, result_code::key_missing, std::nullopt, now);
        return;
    }
    if (requests.size() > settings.maxUnansweredRequests) {
        refuse(pending, result_code::queue_full, defaultRetryAfter, now);
        return;
    }
    if (pending.byKey && !isolated) {
        loadRecorder.recordDemand(pending.service, *pending.request.key, runTimes.of(pending.route));
    }
    wakeAt(pending, pending.deadline);
    schedule(pending, now);
}

void gateway::impl::schedule(unanswered_request &pending, monotonic_time now)
{
    cancelPermit(pending, now);
    removeFromQueue(pending);
    if (now + minTimeLeft >= pending.deadline) {
        expire(pending, now);
    } else if (isolated) {
        forward(pending, now);
    } else if (pending.byKey) {
        scheduleToOwner(pending, now);
    } else {
        scheduleToAny(pending, now);
    }
}

void gateway::impl::scheduleToOwner(unanswered_request &pending, monotonic_time now)
{
    const key_owner owner = ownership.find(pending.service, *pending.request.key);
    detail::tracked_endpoint *tracked = owner.known && owner.settled ? findEndpoint(owner.owner) : nullptr;
    if (tracked == nullptr || !acceptsKeyedRequests(*tracked, now)) {
        park(pending, owner, now);
        return;
    }
    if (tracked->limiter.pausedUntil() > now) {
        waitForPause(pending, tracked->limiter.pausedUntil(), now);
        return;
    }
    enqueue(pending, detail::queue_id(owner.owner), now);
}

void gateway::impl::scheduleToAny(unanswered_request &pending, monotonic_time now)
{
    if (evacuatedServices.contains(pending.service)) {
        // It is not known when the operator takes a zone back, so that waiting here would only delay the caller.
        refuse(pending, result_code::deadline_unreachable, maxRetryAfter, now);
        return;
    }
    enqueue(pending, detail::queue_id(pending.service), now);
}

void gateway::impl::enqueue(unanswered_request &pending, const detail::queue_id &queueId, monotonic_time now)
{
    if (!askForPermit(pending, queueId, now)) {
        enqueueLocally(pending, queueId, now);
    }
}

void gateway::impl::cancel(gateway_request_id id, monotonic_time now)
{
    const auto found = requests.find(id);
    if (found == requests.end()) {
        return;
    }
    unanswered_request &pending = *found->second;
    const bool inFlight = pending.state == request_state::in_flight;
    const endpoint_incarnation endpoint = pending.endpoint;
    if (inFlight) {
        abortAttempt(pending, now);
    } else if (pending.state == request_state::forwarded) {
        abortForward(pending);
    }
    cancelPermit(pending, now);
    remove(pending);
    if (inFlight) {
        sendQueuedFor(endpoint, now);
    }
}

void gateway::impl::advance(monotonic_time now)
{
    while (!timers.empty() && timers.begin()->first <= now) {
        const detail::timer due = timers.begin()->second;
        timers.erase(timers.begin());
        if (due.queueId) {
            queueTimers.erase(*due.queueId);
            sendQueued(*due.queueId, now);
            continue;
        }
        const auto found = requests.find(due.request);
        if (found != requests.end()) {
            wake(*found->second, now);
        }
    }
}

void gateway::impl::wake(unanswered_request &pending, monotonic_time now)
{
    if (now >= pending.deadline) {
        const bool inFlight = pending.state == request_state::in_flight;
        const endpoint_incarnation endpoint = pending.endpoint;
        expire(pending, now);
        if (inFlight) {
            sendQueuedFor(endpoint, now);
        }
        return;
    }
    const bool retryDue = pending.state == request_state::delayed && now >= pending.retryAt;
    const bool parkedTooLong = pending.state == request_state::parked && pending.parkedUntil != monotonic_time{} && now >= pending.parkedUntil;
    if (retryDue || parkedTooLong) {
        schedule(pending, now);
    }
}

void gateway::impl::rescheduleWaiting(monotonic_time now)
{
    std::vector<gateway_request_id> waiting(parked.begin(), parked.end());
    for (const auto &[queueId, queue] : queues) {
        const detail::tracked_endpoint *tracked = queueId.endpoint ? findEndpoint(*queueId.endpoint) : nullptr;
        for (const detail::queue_position &position : queue) {
            const unanswered_request &pending = *requests.at(position.id);
            const key_owner owner = pending.byKey ? ownership.find(pending.service, *pending.request.key) : key_owner{};
            const bool ownerChanged
                = pending.byKey && (tracked == nullptr || !owner.settled || !(owner.owner == *queueId.endpoint) || !acceptsKeyedRequests(*tracked, now));
            const bool noZoneLeft = !pending.byKey && evacuatedServices.contains(pending.service);
            if (ownerChanged || noZoneLeft) {
                waiting.push_back(position.id);
            }
        }
    }
    for (const auto &[permit, id] : awaitingPermit) {
        const unanswered_request &pending = *requests.at(id);
        if (pending.byKey) {
            const key_owner owner = ownership.find(pending.service, *pending.request.key);
            const detail::tracked_endpoint *tracked = owner.settled ? findEndpoint(owner.owner) : nullptr;
            if (tracked == nullptr || !(owner.owner == pending.permitOwner) || !acceptsKeyedRequests(*tracked, now)) {
                waiting.push_back(id);
            }
        } else if (!isZoneUsed(pending.service, pending.permitZone)) {
            waiting.push_back(id);
        }
    }
    for (const gateway_request_id &id : waiting) {
        // Scheduling one request can send others of the same queue, which then must not be scheduled again.
        const auto found = requests.find(id);
        const bool waits = found != requests.end()
            && (found->second->state == request_state::parked || found->second->state == request_state::queued
                || found->second->state == request_state::awaiting_permit);
        if (waits) {
            schedule(*found->second, now);
        }
    }
    std::vector<detail::queue_id> queueIds;
    for (const auto &[queueId, queue] : queues) {
        queueIds.push_back(queueId);
    }
    for (const detail::queue_id &queueId : queueIds) {
        sendQueued(queueId, now);
    }
}

void gateway::impl::rescheduleQueue(const detail::queue_id &queueId, monotonic_time now)
{
    const auto queue = queues.find(queueId);
    if (queue == queues.end()) {
        return;
    }
    const std::vector<detail::queue_position> positions(queue->second.begin(), queue->second.end());
    for (const detail::queue_position &position : positions) {
        // Scheduling one request can send others of the same queue, which then must not be scheduled again.
        const auto found = requests.find(position.id);
        if (found != requests.end() && found->second->state == request_state::queued) {
            schedule(*found->second, now);
        }
    }
}

gateway::gateway(gateway_settings settings, endpoint_port &port, gateway_log log)
    : d(std::make_unique<impl>(std::move(settings), port, std::move(log)))
{
}

gateway::~gateway() = default;

void gateway::setPermits(permit_source &source)
{
    d->permits = &source;
}

void gateway::setForwarding(forwarding_port &port)
{
    d->forwarding = &port;
}

void gateway::setIsolated(bool isolated, monotonic_time now)
{
    d->setIsolated(isolated, now);
}

void gateway::repeatUnanswered(monotonic_time now)
{
    d->repeatUnanswered(now);
}

void gateway::forwarded(forward_id id, forward_reply reply, monotonic_time now)
{
    d->forwarded(id, std::move(reply), now);
}

void gateway::setLeavingHandler(std::function<void(const endpoint_incarnation &)> handler)
{
    d->endpointLeaves = std::move(handler);
}

void gateway::permitGranted(permit_id permit, const endpoint_id &endpoint, std::uint64_t startedAtMs, monotonic_time now)
{
    d->permitGranted(permit, { endpoint, startedAtMs, {} }, now);
}

void gateway::permitRefused(permit_id permit, time_span retryAfter, monotonic_time now)
{
    d->permitRefused(permit, retryAfter, now);
}

void gateway::permitUnavailable(permit_id permit, monotonic_time now)
{
    d->permitUnavailable(permit, now);
}

void gateway::permitWithoutEndpoint(permit_id permit, monotonic_time now)
{
    d->permitWithoutEndpoint(permit, now);
}

void gateway::setInstances(std::uint32_t count)
{
    d->knownInstances = count;
    d->setInstances(std::max(d->instances, count));
}

void gateway::setRoutes(std::shared_ptr<const request_routes> routes, monotonic_time now)
{
    d->routes = std::move(routes);
    d->limitColdEndpoints(now);
}

void gateway::setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints, monotonic_time now)
{
    d->updateEndpoints(endpoints);
    d->limitColdEndpoints(now);
    d->rescheduleWaiting(now);
}

void gateway::setOwnership(const ownership_view &ownership, monotonic_time now)
{
    d->ownership = ownership;
    d->ownershipSince = now;
    for (const auto &[service, record] : ownership.records()) {
        d->setInstances(std::max(record.instances, d->knownInstances));
    }
    d->rescheduleWaiting(now);
}

gateway_request_id gateway::submit(gateway_request request, std::function<void(gateway_answer)> answer, monotonic_time now)
{
    return d->submit(std::move(request), std::move(answer), now);
}

void gateway::cancel(gateway_request_id request, monotonic_time now)
{
    d->cancel(request, now);
}

void gateway::replied(endpoint_attempt_id attempt, endpoint_reply reply, monotonic_time now)
{
    d->replied(attempt, std::move(reply), now);
}

void gateway::advance(monotonic_time now)
{
    d->advance(now);
}

monotonic_time gateway::nextDue() const
{
    return d->timers.empty() ? monotonic_time::max() : d->timers.begin()->first;
}

void gateway::setStop(const planned_stop &stop)
{
    d->stop = stop;
}

void gateway::finishAll(monotonic_time now)
{
    std::vector<gateway_request_id> ids;
    for (const auto &[id, request] : d->requests) {
        ids.push_back(id);
    }
    for (const gateway_request_id &id : ids) {
        const auto found = d->requests.find(id);
        if (found == d->requests.end()) {
            continue;
        }
        unanswered_request &pending = *found->second;
        if (pending.state == request_state::in_flight || pending.state == request_state::forwarded) {
            d->expire(pending, now);
        } else {
            d->refuse(pending, result_code::instance_stopping, shortRetryAfter, now);
        }
    }
}

std::size_t gateway::unfinished() const noexcept
{
    return d->requests.size();
}

std::vector<load_report> gateway::takeLoadReports()
{
    return d->loadRecorder.takeReports(d->settings.instance);
}

std::vector<limited_endpoint_load> gateway::takeLimitedEndpointLoads()
{
    std::vector<limited_endpoint_load> loads;
    for (const auto &item : std::exchange(d->limitedLoads, {})) {
        loads.push_back(item.second);
    }
    return loads;
}

void gateway::addCrashes(const std::vector<crash_report> &reports, monotonic_time now)
{
    for (const crash_report &each : reports) {
        d->crashes.merge(each, now);
    }
}

std::vector<crash_report> gateway::takeCrashReports(monotonic_time now)
{
    return d->crashes.takeDueReports(now);
}

std::size_t gateway::crashSuspects() const noexcept
{
    return d->crashes.size();
}

std::size_t gateway::limitedEndpoints() const noexcept
{
    return static_cast<std::size_t>(std::count_if(d->trackedEndpoints.begin(), d->trackedEndpoints.end(), [](const auto &item) {
        return item.second.limiter.requestLimit().has_value();
    }));
}

std::size_t gateway::ejectedEndpoints() const noexcept
{
    std::size_t count = 0;
    for (const auto &[service, detector] : d->failures) {
        count += detector.ejected();
    }
    return count;
}

std::string gateway::dump(monotonic_time now) const
{
    return d->dump(now);
}

} // namespace sycamoretray
