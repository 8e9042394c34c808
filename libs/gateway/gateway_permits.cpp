#include "gateway/detail/gateway_impl.h"

#include <algorithm>

namespace sycamoretray
{

using detail::fullRetryDelay;
using detail::longestRetryAfter;
using detail::shortRetryAfter;

namespace
{

// Wait in the own zone, in usual times, for which a permit of another zone is asked for instead.
constexpr double zoneWait = 0.3;
// Other zones that are asked for a permit before the request waits in its own.
constexpr std::uint32_t otherZonesAsked = 2;
// A permit is refused if the answer is expected to take longer than this part of the latency target. A queue that is known as a whole
// predicts the time well, so that little is added for what it does not know.
constexpr double permitLateness = 1.1;

} // namespace

bool gateway::impl::askForPermit(waiting_request &subject, const detail::pool_key &pool, monotonic_time now)
{
    if (permits == nullptr) {
        return false;
    }
    permit_request question;
    question.id = permit_id(lastPermit + 1);
    question.service = subject.service;
    question.owner = pool.endpoint;
    question.key = subject.byKey ? subject.request.key : std::nullopt;
    question.priority = subject.route.priority;
    question.usual = times.of(subject.route);
    question.useful = usefulTime(subject, permitLateness, now);
    question.tried.assign(subject.tried.begin(), subject.tried.end());
    if (!subject.byKey && !chooseZone(subject, question)) {
        return false;
    }
    if (!permits->isUsed(question)) {
        return false;
    }
    ++lastPermit;
    subject.state = request_state::asking;
    subject.permit = question.id;
    subject.askedOwner = question.owner.value_or(endpoint_life());
    asking.emplace(question.id, subject.id);
    permits->ask(question, now);
    return true;
}

time_span gateway::impl::usefulTime(const waiting_request &subject, double lateness, monotonic_time now)
{
    const auto target = std::chrono::duration_cast<time_span>(subject.route.latencyTarget * lateness);
    return std::min(subject.deadline - now, target - (now - subject.arrived));
}

bool gateway::impl::chooseZone(const waiting_request &subject, permit_request &question)
{
    const std::vector<availability_zone> &zones = zonesOfService[subject.service];
    if (zones.empty()) {
        return false;
    }
    const std::size_t asked = subject.zonesAsked;
    const std::size_t turns = std::min<std::size_t>(zones.size(), 1 + otherZonesAsked);
    if (asked >= turns || zones.size() == 1) {
        question.zone = zones.front();
        return true;
    }
    question.zone = zones[asked];
    question.useful = std::min(question.useful, std::chrono::duration_cast<time_span>(question.usual * (1 + zoneWait)));
    return true;
}

bool gateway::impl::mayAskOtherZone(const waiting_request &subject)
{
    const std::size_t zones = zonesOfService[subject.service].size();
    return !subject.byKey && zones > 1 && subject.zonesAsked < std::min<std::size_t>(zones, 1 + otherZonesAsked);
}

detail::waiting_request *gateway::impl::takeAsking(permit_id permit)
{
    const auto found = asking.find(permit);
    if (found == asking.end()) {
        return nullptr;
    }
    waiting_request *subject = requests.at(found->second).get();
    asking.erase(found);
    subject->state = request_state::parked;
    return subject;
}

void gateway::impl::permitGranted(permit_id permit, const endpoint_life &life, monotonic_time now)
{
    waiting_request *subject = takeAsking(permit);
    if (subject == nullptr) {
        return;
    }
    detail::gate_entry *gate = gateOf(life);
    const bool usable = gate != nullptr && mayUse(*gate, now) && (subject->byKey || !gate->gate.entry().draining);
    if (usable) {
        send(*subject, *gate, now);
        return;
    }
    // This instance and the keeper learn of changes at different times. Until the keeper knows, it is told what not to grant again.
    subject->tried.insert(life.endpoint);
    returnPermit(*subject, {}, now);
    subject->retryAt = now + fullRetryDelay;
    subject->state = request_state::delayed;
    wakeAt(*subject, subject->retryAt);
}

void gateway::impl::permitRefused(permit_id permit, time_span retryAfter, monotonic_time now)
{
    waiting_request *subject = takeAsking(permit);
    if (subject == nullptr) {
        return;
    }
    subject->permit.reset();
    if (mayAskOtherZone(*subject)) {
        ++subject->zonesAsked;
        place(*subject, now);
        return;
    }
    refuse(*subject, result_code::deadline_unreachable, std::clamp(retryAfter, shortRetryAfter, longestRetryAfter), now);
}

void gateway::impl::permitUnavailable(permit_id permit, monotonic_time now)
{
    waiting_request *subject = takeAsking(permit);
    if (subject == nullptr) {
        return;
    }
    subject->permit.reset();
    if (!subject->byKey) {
        enqueueHere(*subject, detail::pool_key(subject->service), now);
        return;
    }
    const key_owner owner = ownership.find(subject->service, *subject->request.key);
    enqueueHere(*subject, detail::pool_key(owner.owner), now);
}

void gateway::impl::withdraw(waiting_request &subject, monotonic_time now)
{
    if (subject.state == request_state::asking) {
        asking.erase(*subject.permit);
        subject.state = request_state::parked;
    }
    returnPermit(subject, {}, now);
}

void gateway::impl::returnPermit(waiting_request &subject, const permit_result &result, monotonic_time now)
{
    if (subject.permit) {
        permits->giveBack(*subject.permit, result, now);
        subject.permit.reset();
    }
}

permit_result gateway::impl::permitResult(const endpoint_reply &reply)
{
    return { true, reply.kind, reply.sent, reply.misdirected, reply.response.status, reply.load };
}

} // namespace sycamoretray
