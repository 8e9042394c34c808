#include "gateway/detail/gateway_impl.h"

#include <algorithm>

namespace sycamoretray
{

using detail::fullEndpointRetryDelay;
using detail::maxRetryAfter;
using detail::shortRetryAfter;

namespace
{

// While there are other zones to ask, a zone refuses a permit if the wait is expected to exceed this multiple of the typical run
// time.
constexpr double maxZoneWaitFactor = 0.3;
// Number of other zones that are asked for a permit before the request waits for one in its own zone.
constexpr std::uint32_t maxOtherZones = 2;
// A permit is refused if the answer is expected to take longer than this multiple of the latency target. The coordinator knows the
// whole queue and predicts the time well, so only a small margin is added.
constexpr double permitTargetFactor = 1.1;
// Number of times that a request asks again after no zone's coordinator knew an endpoint for it. Instances learn of changes within tenths of a
// second of each other; requests that are sent without a permit overfill endpoints.
constexpr std::uint32_t maxEmptyRounds = 5;

} // namespace

bool gateway::impl::askForPermit(unanswered_request &pending, const detail::queue_id &queueId, monotonic_time now)
{
    if (permits == nullptr) {
        return false;
    }
    permit_request permitRequest;
    permitRequest.id = permit_id(lastPermit + 1);
    permitRequest.service = pending.service;
    permitRequest.owner = queueId.endpoint;
    permitRequest.key = pending.byKey ? pending.request.key : std::nullopt;
    permitRequest.priority = pending.route.priority;
    permitRequest.typicalRunTime = runTimes.of(pending.route);
    permitRequest.maxAnswerTime = answerTimeLimit(pending, permitTargetFactor, now);
    permitRequest.idempotent = pending.route.idempotent;
    permitRequest.triedEndpoints.assign(pending.triedEndpoints.begin(), pending.triedEndpoints.end());
    if (!pending.byKey && !chooseZone(pending, permitRequest)) {
        return false;
    }
    setRequestLimit(permitRequest, queueId, now);
    if (!permits->isUsed(permitRequest)) {
        return false;
    }
    permitRequest.fingerprint = fingerprintOf(pending);
    if (!mayAskOtherZone(pending)) {
        permitRequest.callerTimeLeft = pending.deadline - now;
    }
    ++lastPermit;
    pending.state = request_state::awaiting_permit;
    pending.permit = permitRequest.id;
    pending.permitOwner = permitRequest.owner.value_or(endpoint_incarnation());
    pending.permitZone = permitRequest.zone;
    awaitingPermit.emplace(permitRequest.id, pending.id);
    permits->ask(permitRequest, now);
    return true;
}

void gateway::impl::setRequestLimit(permit_request &permitRequest, const detail::queue_id &queueId, monotonic_time now)
{
    for (const detail::tracked_endpoint *tracked : endpointsOf(queueId)) {
        const auto known = tracked->limiter.knownRequestLimit(now);
        permitRequest.limited = permitRequest.limited || known || tracked->limiter.isLimitedWhileCold(now);
        if (permitRequest.owner) {
            permitRequest.ownerLimit = known;
        }
    }
}

void gateway::impl::limitColdEndpoints(monotonic_time now)
{
    std::set<detail::queue_id> newlyLimited;
    for (auto &[incarnation, tracked] : trackedEndpoints) {
        const service_id &service = tracked.limiter.entry().service;
        const service_definition *definition = routes ? routes->service(service) : nullptr;
        const bool before = tracked.limiter.isLimitedWhileCold(now);
        tracked.limiter.limitWhileCold(definition == nullptr ? std::nullopt : definition->coldRequestRate, now);
        if (!before && tracked.limiter.isLimitedWhileCold(now)) {
            newlyLimited.insert({ detail::queue_id(incarnation), detail::queue_id(service) });
        }
    }
    for (const detail::queue_id &each : newlyLimited) {
        rescheduleQueue(each, now);
    }
}

time_span gateway::impl::answerTimeLimit(const unanswered_request &pending, double targetFactor, monotonic_time now)
{
    const auto target = std::chrono::duration_cast<time_span>(pending.route.latencyTarget * targetFactor);
    return std::min(pending.deadline - now, target - (now - pending.arrived));
}

std::vector<availability_zone> gateway::impl::zonesFor(const unanswered_request &pending) const
{
    const auto known = zonesOfService.find(pending.service);
    std::vector<availability_zone> zones = known == zonesOfService.end() ? std::vector<availability_zone>() : known->second;
    std::erase_if(zones, [&](const availability_zone &zone) {
        return pending.emptyZones.contains(zone);
    });
    return zones;
}

bool gateway::impl::chooseZone(const unanswered_request &pending, permit_request &permitRequest) const
{
    const std::vector<availability_zone> zones = zonesFor(pending);
    if (zones.empty()) {
        return false;
    }
    const std::size_t asked = pending.zonesAsked;
    const std::size_t zonesToAsk = std::min<std::size_t>(zones.size(), 1 + maxOtherZones);
    if (asked >= zonesToAsk || zones.size() == 1) {
        permitRequest.zone = zones.front();
        return true;
    }
    permitRequest.zone = zones[asked];
    permitRequest.maxAnswerTime
        = std::min(permitRequest.maxAnswerTime, std::chrono::duration_cast<time_span>(permitRequest.typicalRunTime * (1 + maxZoneWaitFactor)));
    return true;
}

bool gateway::impl::mayAskOtherZone(const unanswered_request &pending) const
{
    const std::size_t zones = zonesFor(pending).size();
    return !pending.byKey && zones > 1 && pending.zonesAsked < std::min<std::size_t>(zones, 1 + maxOtherZones);
}

detail::unanswered_request *gateway::impl::takeAwaitingPermit(permit_id permit)
{
    const auto found = awaitingPermit.find(permit);
    if (found == awaitingPermit.end()) {
        return nullptr;
    }
    unanswered_request *pending = requests.at(found->second).get();
    awaitingPermit.erase(found);
    pending->state = request_state::parked;
    return pending;
}

void gateway::impl::permitGranted(permit_id permit, const endpoint_incarnation &incarnation, monotonic_time now)
{
    unanswered_request *pending = takeAwaitingPermit(permit);
    if (pending == nullptr) {
        return;
    }
    detail::tracked_endpoint *tracked = findEndpoint(incarnation);
    const bool usable = tracked != nullptr && acceptsKeyedRequests(*tracked, now) && (pending->byKey || tracked->limiter.acceptsNewWork())
        && tracked->limiter.pausedUntil() <= now;
    if (usable) {
        send(*pending, *tracked, now);
        return;
    }
    // This instance and the coordinator learn of changes at different times. Listing the endpoint as tried keeps the coordinator from
    // granting it again before it knows of the change.
    pending->triedEndpoints.insert(incarnation.endpoint);
    returnPermit(*pending, {}, now);
    pending->retryAt = now + fullEndpointRetryDelay;
    pending->state = request_state::delayed;
    wakeAt(*pending, pending->retryAt);
}

void gateway::impl::permitRefused(permit_id permit, time_span retryAfter, monotonic_time now)
{
    unanswered_request *pending = takeAwaitingPermit(permit);
    if (pending == nullptr) {
        return;
    }
    pending->permit.reset();
    if (mayAskOtherZone(*pending)) {
        ++pending->zonesAsked;
        schedule(*pending, now);
        return;
    }
    refuse(*pending, result_code::deadline_unreachable, std::clamp(retryAfter, shortRetryAfter, maxRetryAfter), now);
}

void gateway::impl::permitUnavailable(permit_id permit, monotonic_time now)
{
    unanswered_request *pending = takeAwaitingPermit(permit);
    if (pending == nullptr) {
        return;
    }
    pending->permit.reset();
    if (!pending->byKey) {
        enqueueLocally(*pending, detail::queue_id(pending->service), now);
        return;
    }
    const key_owner owner = ownership.find(pending->service, *pending->request.key);
    enqueueLocally(*pending, detail::queue_id(owner.owner), now);
}

void gateway::impl::permitWithoutEndpoint(permit_id permit, monotonic_time now)
{
    const auto found = awaitingPermit.find(permit);
    if (found == awaitingPermit.end()) {
        return;
    }
    unanswered_request &pending = *requests.at(found->second);
    if (pending.byKey) {
        permitUnavailable(permit, now);
        return;
    }
    takeAwaitingPermit(permit);
    pending.permit.reset();
    pending.emptyZones.insert(pending.permitZone);
    if (!zonesFor(pending).empty() || pending.emptyRounds == maxEmptyRounds) {
        schedule(pending, now);
        return;
    }
    ++pending.emptyRounds;
    pending.emptyZones.clear();
    pending.retryAt = now + fullEndpointRetryDelay;
    pending.state = request_state::delayed;
    wakeAt(pending, pending.retryAt);
}

void gateway::impl::cancelPermit(unanswered_request &pending, monotonic_time now)
{
    if (pending.state == request_state::awaiting_permit) {
        awaitingPermit.erase(*pending.permit);
        pending.state = request_state::parked;
    }
    returnPermit(pending, {}, now);
}

void gateway::impl::returnPermit(unanswered_request &pending, const permit_result &result, monotonic_time now)
{
    if (pending.permit) {
        permits->giveBack(*pending.permit, result, now);
        pending.permit.reset();
    }
}

bool gateway::impl::isPathDoubtful(const unanswered_request &pending) const
{
    return isolated || (isolatedUntil && pending.sentAt <= *isolatedUntil);
}

permit_result gateway::impl::lostAttemptResult(const unanswered_request &pending, const permit_result &result) const
{
    if (!isPathDoubtful(pending)) {
        return result;
    }
    permit_result unknown;
    unknown.sent = false;
    return unknown;
}

permit_result gateway::impl::permitResult(const endpoint_reply &reply)
{
    return { true, reply.kind, reply.sent, reply.misdirected, reply.response.status, reply.load, reply.requestLimit, false };
}

} // namespace sycamoretray
