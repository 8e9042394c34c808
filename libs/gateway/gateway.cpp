#include "gateway/gateway.h"

#include "gateway/detail/gateway_impl.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

using detail::leastTimeLeft;
using detail::request_state;
using detail::shortRetryAfter;
using detail::usualRetryAfter;
using detail::waiting_request;

gateway::impl::impl(gateway_settings givenSettings, endpoint_port &givenPort, gateway_log givenLog)
    : gateway_state(std::move(givenSettings), givenPort, std::move(givenLog))
{
}

gateway_request_id gateway::impl::submit(gateway_request request, std::function<void(gateway_answer)> answer, monotonic_time now)
{
    const gateway_request_id id(++lastRequest);
    auto owned = std::make_unique<waiting_request>();
    waiting_request &subject = *owned;
    subject.id = id;
    subject.request = std::move(request);
    subject.answer = std::move(answer);
    subject.arrived = now;
    requests.emplace(id, std::move(owned));
    accept(subject, now);
    return id;
}

void gateway::impl::accept(waiting_request &subject, monotonic_time now)
{
    if (!routes) {
        refuse(subject, result_code::configuration_stale, usualRetryAfter, now);
        return;
    }
    const request_route *route = routes->find(subject.request.host, subject.request.path);
    if (route == nullptr) {
        refuse(subject, result_code::no_matching_service, std::nullopt, now);
        return;
    }
    subject.route = *route;
    subject.deadline = now + std::min(subject.request.timeLeft.value_or(route->timeout), route->timeout);
    subject.service = splits.choose(*route).service;
    const service_definition *definition = routes->service(subject.service);
    subject.byKey = definition != nullptr && definition->dividedByKey;
    allowance(subject.service).earn(now);
    if (subject.byKey && !subject.request.key) {
        refuse(subject, result_code::key_missing, std::nullopt, now);
        return;
    }
    if (requests.size() > settings.mostWaiting) {
        refuse(subject, result_code::queue_full, usualRetryAfter, now);
        return;
    }
    if (subject.byKey) {
        work.demanded(subject.service, *subject.request.key, times.of(subject.route));
    }
    wakeAt(subject, subject.deadline);
    place(subject, now);
}

void gateway::impl::place(waiting_request &subject, monotonic_time now)
{
    withdraw(subject, now);
    unqueue(subject);
    if (now + leastTimeLeft >= subject.deadline) {
        expire(subject, now);
    } else if (subject.byKey) {
        placeByKey(subject, now);
    } else {
        placeAnywhere(subject, now);
    }
}

void gateway::impl::placeByKey(waiting_request &subject, monotonic_time now)
{
    const key_owner owner = ownership.find(subject.service, *subject.request.key);
    detail::gate_entry *gate = owner.known && owner.settled ? gateOf(owner.owner) : nullptr;
    if (gate == nullptr || !mayUse(*gate, now)) {
        park(subject, owner, now);
        return;
    }
    enqueue(subject, detail::pool_key(owner.owner), now);
}

void gateway::impl::placeAnywhere(waiting_request &subject, monotonic_time now)
{
    enqueue(subject, detail::pool_key(subject.service), now);
}

void gateway::impl::enqueue(waiting_request &subject, const detail::pool_key &pool, monotonic_time now)
{
    if (!askForPermit(subject, pool, now)) {
        enqueueHere(subject, pool, now);
    }
}

void gateway::impl::cancel(gateway_request_id id, monotonic_time now)
{
    const auto found = requests.find(id);
    if (found == requests.end()) {
        return;
    }
    waiting_request &subject = *found->second;
    const bool inFlight = subject.state == request_state::in_flight;
    const endpoint_life endpoint = subject.endpoint;
    if (inFlight) {
        abandon(subject, now);
    }
    withdraw(subject, now);
    remove(subject);
    if (inFlight) {
        pumpAfter(endpoint, now);
    }
}

void gateway::impl::advance(monotonic_time now)
{
    while (!timers.empty() && timers.begin()->first <= now) {
        const detail::timer due = timers.begin()->second;
        timers.erase(timers.begin());
        if (due.pool) {
            poolTimers.erase(*due.pool);
            pump(*due.pool, now);
            continue;
        }
        const auto found = requests.find(due.request);
        if (found != requests.end()) {
            wake(*found->second, now);
        }
    }
}

void gateway::impl::wake(waiting_request &subject, monotonic_time now)
{
    if (now >= subject.deadline) {
        const bool inFlight = subject.state == request_state::in_flight;
        const endpoint_life endpoint = subject.endpoint;
        expire(subject, now);
        if (inFlight) {
            pumpAfter(endpoint, now);
        }
        return;
    }
    const bool retryDue = subject.state == request_state::delayed && now >= subject.retryAt;
    const bool parkedTooLong = subject.state == request_state::parked && subject.parkedUntil != monotonic_time{} && now >= subject.parkedUntil;
    if (retryDue || parkedTooLong) {
        place(subject, now);
    }
}

void gateway::impl::replaceWaiting(monotonic_time now)
{
    std::vector<gateway_request_id> waiting(parked.begin(), parked.end());
    for (const auto &[pool, queue] : pools) {
        const detail::gate_entry *gate = pool.endpoint ? gateOf(*pool.endpoint) : nullptr;
        for (const detail::queue_position &position : queue) {
            const waiting_request &subject = *requests.at(position.id);
            const key_owner owner = subject.byKey ? ownership.find(subject.service, *subject.request.key) : key_owner{};
            if (subject.byKey && (gate == nullptr || !owner.settled || !(owner.owner == *pool.endpoint) || !mayUse(*gate, now))) {
                waiting.push_back(position.id);
            }
        }
    }
    for (const auto &[permit, id] : asking) {
        const waiting_request &subject = *requests.at(id);
        if (subject.byKey) {
            const key_owner owner = ownership.find(subject.service, *subject.request.key);
            const detail::gate_entry *gate = owner.settled ? gateOf(owner.owner) : nullptr;
            if (gate == nullptr || !(owner.owner == subject.askedOwner) || !mayUse(*gate, now)) {
                waiting.push_back(id);
            }
        }
    }
    for (const gateway_request_id &id : waiting) {
        // Placing one request can send others of the same queue.
        const auto found = requests.find(id);
        const bool waits = found != requests.end()
            && (found->second->state == request_state::parked || found->second->state == request_state::queued
                || found->second->state == request_state::asking);
        if (waits) {
            place(*found->second, now);
        }
    }
    std::vector<detail::pool_key> open;
    for (const auto &[pool, queue] : pools) {
        open.push_back(pool);
    }
    for (const detail::pool_key &pool : open) {
        pump(pool, now);
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

void gateway::setInstances(std::uint32_t count)
{
    d->knownInstances = count;
    d->setInstances(std::max(d->instances, count));
}

void gateway::setRoutes(std::shared_ptr<const request_routes> routes, monotonic_time /*now*/)
{
    d->routes = std::move(routes);
}

void gateway::setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints, monotonic_time now)
{
    d->updateGates(endpoints);
    d->replaceWaiting(now);
}

void gateway::setOwnership(const ownership_view &ownership, monotonic_time now)
{
    d->ownership = ownership;
    d->ownershipSince = now;
    for (const auto &[service, record] : ownership.records()) {
        d->setInstances(std::max(record.instances, d->knownInstances));
    }
    d->replaceWaiting(now);
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
        waiting_request &subject = *found->second;
        if (subject.state == request_state::in_flight) {
            d->expire(subject, now);
        } else {
            d->refuse(subject, result_code::instance_stopping, shortRetryAfter, now);
        }
    }
}

std::size_t gateway::unfinished() const noexcept
{
    return d->requests.size();
}

std::vector<load_report> gateway::takeLoadReports()
{
    return d->work.take(d->settings.instance);
}

std::string gateway::dump(monotonic_time now) const
{
    return d->dump(now);
}

} // namespace sycamoretray
