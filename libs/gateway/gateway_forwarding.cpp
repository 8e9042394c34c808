#include "gateway/detail/gateway_impl.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamoretray
{

using detail::request_state;
using detail::shortRetryAfter;

namespace
{

// Number of other instances that are asked to take a request; most of them may be isolated as well.
constexpr std::uint32_t maxForwards = 6;

template<class... Functions>
struct visitor : Functions... {
    using Functions::operator()...;
};
template<class... Functions>
visitor(Functions...) -> visitor<Functions...>;

} // namespace

void gateway::impl::setIsolated(bool nowIsolated, monotonic_time now)
{
    if (std::exchange(isolated, nowIsolated) == nowIsolated) {
        return;
    }
    if (!nowIsolated) {
        isolatedUntil = now;
        return;
    }
    std::vector<gateway_request_id> waiting;
    for (const auto &[id, pending] : requests) {
        if (pending->state != request_state::in_flight && pending->state != request_state::forwarded) {
            waiting.push_back(id);
        }
    }
    for (const gateway_request_id &id : waiting) {
        if (const auto found = requests.find(id); found != requests.end()) {
            schedule(*found->second, now);
        }
    }
}

void gateway::impl::repeatUnanswered(monotonic_time now)
{
    std::vector<gateway_request_id> inFlight;
    for (const auto &[id, pending] : requests) {
        if (pending->state == request_state::in_flight && pending->route.idempotent) {
            inFlight.push_back(id);
        }
    }
    for (const gateway_request_id &id : inFlight) {
        const auto found = requests.find(id);
        if (found != requests.end() && mayRetry(*found->second, now)) {
            abortAttempt(*found->second, now);
            found->second->mayHaveRun = true;
            found->second->state = request_state::parked;
            schedule(*found->second, now);
        }
    }
}

void gateway::impl::forward(unanswered_request &pending, monotonic_time now)
{
    if (!canFinish(pending, now)) {
        refuse(pending, result_code::instance_stopping, shortRetryAfter, now);
        return;
    }
    const bool mayForward = forwarding != nullptr && !pending.request.forwarded && pending.forwards < maxForwards;
    const forward_id id(lastForward + 1);
    const forward_mark mark{ pending.mayHaveRun ? pending.attempts : 0, routes->version() };
    if (!mayForward || !forwarding->forward(id, pending.request, mark, attemptDeadline(pending) - now)) {
        refuse(pending, result_code::instance_isolated, shortRetryAfter, now);
        return;
    }
    ++lastForward;
    ++pending.forwards;
    pending.state = request_state::forwarded;
    pending.forward = id;
    forwards.emplace(id, pending.id);
}

void gateway::impl::forwarded(forward_id id, forward_reply reply, monotonic_time now)
{
    const auto found = forwards.find(id);
    if (found == forwards.end()) {
        return;
    }
    unanswered_request &pending = *requests.at(found->second);
    forwards.erase(found);
    pending.state = request_state::parked;
    std::visit(visitor{
                   [&](forward_answered &answered) {
                       finishForwarded(pending, std::move(answered), now);
                   },
                   [&](const forward_not_taken & /*reply*/) {
                       schedule(pending, now);
                   },
                   [&](const forward_lost & /*reply*/) {
                       handleLostForward(pending, now);
                   },
               },
               reply);
}

void gateway::impl::finishForwarded(unanswered_request &pending, forward_answered answered, monotonic_time now)
{
    if (answered.refused && pending.mayHaveRun) {
        // It did not run at the other instance's endpoints, but may have run at one of this instance's.
        refuse(pending, result_code::instance_isolated, std::nullopt, now);
        return;
    }
    gateway_answer answer;
    answer.response = std::move(answered.response);
    finish(pending, std::move(answer), now);
}

void gateway::impl::handleLostForward(unanswered_request &pending, monotonic_time now)
{
    pending.mayHaveRun = true;
    // It is not known how many endpoints the other instance used; all but one are counted.
    pending.attempts = std::max(pending.attempts + 1, pending.route.maxAttempts - std::min(1U, pending.route.maxAttempts));
    if (pending.route.idempotent && mayRetry(pending, now)) {
        schedule(pending, now);
        return;
    }
    gateway_answer answer;
    answer.code = result_code::peer_lost;
    finish(pending, std::move(answer), now);
}

void gateway::impl::abortForward(unanswered_request &pending)
{
    forwards.erase(pending.forward);
    pending.state = request_state::parked;
    forwarding->abort(pending.forward);
}

} // namespace sycamoretray
