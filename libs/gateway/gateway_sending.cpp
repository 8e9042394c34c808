#include "gateway/detail/gateway_impl.h"

#include <algorithm>
#include <iterator>

namespace sycamoretray
{

using detail::leastTimeLeft;
using detail::longestRetryAfter;
using detail::shortRetryAfter;

namespace
{

// Requests for keys without a known owner wait for this part of their time, then are refused.
constexpr double parkedPart = 0.5;
// Sending to another zone is worth it if it saves more than this many times the usual time of the request. Latency targets leave
// about twice the usual time for waiting, and bytes between zones are paid for.
constexpr double zonePenalty = 1.5;
// A request is refused at once if it is expected to take longer than this part of its latency target.
constexpr double acceptedLateness = 1.25;

} // namespace

void gateway::impl::enqueueHere(waiting_request &subject, const detail::pool_key &pool, monotonic_time now)
{
    const time_span wait = expectedWait(subject, pool, now);
    // Late answers are worth little, and each one makes the requests behind it late as well.
    if (wait + times.of(subject.route) > usefulTime(subject, acceptedLateness, now) && wait > time_span::zero()) {
        refuse(subject, result_code::deadline_unreachable, std::clamp(wait, shortRetryAfter, longestRetryAfter), now);
        return;
    }
    subject.state = request_state::queued;
    subject.pool = pool;
    pools[pool].insert(detail::queue_position(subject));
    pump(pool, now);
}

time_span gateway::impl::expectedWait(const waiting_request &subject, const detail::pool_key &pool, monotonic_time now)
{
    const auto queue = pools.find(pool);
    std::size_t ahead = 0;
    if (queue != pools.end()) {
        ahead = static_cast<std::size_t>(std::distance(queue->second.begin(), queue->second.lower_bound(detail::queue_position(subject))));
    }
    double rate = 0;
    bool room = false;
    monotonic_time opensAt = monotonic_time::max();
    for (detail::gate_entry *gate : gatesOf(pool)) {
        if (!gate->gate.isListed() || (!subject.byKey && gate->gate.entry().draining)) {
            continue;
        }
        room = room || (ahead == 0 && gate->gate.hasRoom(now));
        opensAt = std::min(opensAt, gate->gate.blockedUntil());
        const time_span each = gate->gate.expectedTime(times.of(subject.route), now);
        rate += 1 / std::max(1.0, static_cast<double>(each.count()));
    }
    if (room || rate <= 0) {
        return time_span::zero();
    }
    const time_span untilOpen = opensAt == monotonic_time::max() ? time_span::zero() : std::max(time_span::zero(), opensAt - now);
    return std::max(untilOpen, time_span(static_cast<std::int64_t>((static_cast<double>(ahead) + 0.5) / rate)));
}

void gateway::impl::park(waiting_request &subject, const key_owner &owner, monotonic_time now)
{
    if (owner.known && !owner.settled && owner.lapse > time_span::zero()) {
        const time_span left = owner.lapse - (now - ownershipSince);
        if (now + left + times.of(subject.route) > subject.deadline) {
            refuse(subject, result_code::no_owner, std::clamp(left, shortRetryAfter, longestRetryAfter), now);
            return;
        }
    }
    if (subject.parkedUntil == monotonic_time{}) {
        subject.parkedUntil = now + std::chrono::duration_cast<time_span>((subject.deadline - now) * parkedPart);
    }
    if (now >= subject.parkedUntil) {
        refuse(subject, result_code::no_owner, shortRetryAfter, now);
        return;
    }
    subject.state = request_state::parked;
    parked.insert(subject.id);
    wakeAt(subject, subject.parkedUntil);
}

void gateway::impl::pump(const detail::pool_key &pool, monotonic_time now)
{
    while (true) {
        const auto queue = pools.find(pool);
        if (queue == pools.end()) {
            return;
        }
        if (queue->second.empty()) {
            pools.erase(queue);
            return;
        }
        waiting_request &next = *requests.at(queue->second.begin()->id);
        detail::gate_entry *gate = chooseGate(next, pool, now);
        if (gate == nullptr) {
            wakePool(pool, now);
            return;
        }
        queue->second.erase(queue->second.begin());
        send(next, *gate, now);
    }
}

detail::gate_entry *gateway::impl::chooseGate(const waiting_request &subject, const detail::pool_key &pool, monotonic_time now)
{
    detail::gate_entry *best = nullptr;
    time_span bestCost{};
    const time_span usual = times.of(subject.route);
    for (detail::gate_entry *gate : gatesOf(pool)) {
        const bool usable = subject.byKey ? mayUse(*gate, now) && gate->gate.hasRoom(now) : gate->gate.takesNewWork(now);
        if (!usable) {
            continue;
        }
        time_span cost = gate->gate.expectedTime(usual, now);
        if (gate->gate.entry().zone != settings.zone) {
            cost += std::chrono::duration_cast<time_span>(usual * zonePenalty);
        }
        if (subject.tried.contains(gate->gate.entry().life.endpoint)) {
            cost += usual * 4;
        }
        if (best == nullptr || cost < bestCost) {
            best = gate;
            bestCost = cost;
        }
    }
    return best;
}

void gateway::impl::send(waiting_request &subject, detail::gate_entry &gate, monotonic_time now)
{
    if (now + leastTimeLeft >= subject.deadline) {
        subject.state = request_state::parked;
        expire(subject, now);
        return;
    }
    subject.state = request_state::in_flight;
    subject.attempt = endpoint_attempt_id(++lastAttempt);
    subject.sentAt = now;
    subject.endpoint = gate.gate.entry().life;
    ++subject.attempts;
    subject.tried.insert(subject.endpoint.endpoint);
    attempts.emplace(subject.attempt, subject.id);
    gate.gate.sent();
    port.send(subject.attempt, gate.gate.entry(), subject.request, subject.deadline - now);
}

void gateway::impl::pumpAfter(const endpoint_life &endpoint, monotonic_time now)
{
    pump(detail::pool_key(endpoint), now);
    if (const detail::gate_entry *gate = gateOf(endpoint)) {
        pump(detail::pool_key(gate->gate.entry().service), now);
    }
}

} // namespace sycamoretray
