#include "permits/return_promises.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr std::size_t maxRefusals = 1024;
// Tolerates the inaccuracy of callers' clocks and of the time that they have left.
constexpr double earliestReturnFactor = 0.9;
constexpr time_span returnTolerance = std::chrono::seconds(1);
// Longer than the time for which callers wait, so that a fingerprint of several requests is not taken for that of a returning one.
constexpr time_span ambiguityLifetime = std::chrono::seconds(4);
// Callers wait for Retry-After for up to this part of the time that they have left.
constexpr int callerWaitDivisor = 3;
// Hardly any caller waits longer.
constexpr time_span maxWait = std::chrono::seconds(2);
constexpr time_span minWait = std::chrono::milliseconds(150);
constexpr time_span expiryCheckInterval = std::chrono::milliseconds(100);
// Grants are averaged over this time: long enough for some grants of a single endpoint, shorter than a temporary overload.
constexpr double rateWindowSeconds = 1;
// Part of the rate that is promised. With 0.5 no more requests are served, and those with the shortest useful time are answered in
// time less often. Without promises, requests with a long useful time starve in a lasting overload.
constexpr double promisedShare = 0.25;
constexpr double forgottenGrants = 0.01;

double inSeconds(time_span time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

std::string_view toString(promise_outcome outcome) noexcept
{
    switch (outcome) {
    case promise_outcome::made:
        return "made";
    case promise_outcome::kept:
        return "kept";
    case promise_outcome::broken:
        return "broken";
    case promise_outcome::early:
        return "early";
    case promise_outcome::unused:
        return "unused";
    }
    return "unknown";
}

void return_promises::flow::decay(monotonic_time now)
{
    grants *= std::exp(-inSeconds(now - updated) / rateWindowSeconds);
    updated = now;
}

void return_promises::setObserver(std::function<void(promise_outcome)> observer)
{
    m_observer = std::move(observer);
}

void return_promises::recordGrant(std::uint32_t priority, std::optional<key_number> key, monotonic_time now)
{
    const auto record = [&](const flow_id &id) {
        flow &subject = m_flows[id];
        subject.decay(now);
        ++subject.grants;
    };
    record({ priority, std::nullopt });
    if (key) {
        record({ priority, key });
    }
}

std::optional<monotonic_time> return_promises::nextPlace(flow &subject, monotonic_time now)
{
    subject.decay(now);
    const double promisedPerSecond = subject.grants / rateWindowSeconds * promisedShare;
    const std::chrono::duration<double> spacing(1 / std::max(promisedPerSecond, forgottenGrants));
    return promisedPerSecond <= 0 ? std::nullopt : std::optional(std::max(now, subject.bookedUntil) + std::chrono::duration_cast<time_span>(spacing));
}

time_span return_promises::refused(const refused_request &request, monotonic_time now)
{
    const time_span longestWait = std::clamp(request.callerTimeLeft / callerWaitDivisor, time_span::zero(), maxWait);
    refusal &subject = insert(request.fingerprint);
    subject.made = now;
    if (subject.state == refusal_state::ambiguous) {
        return maxWait;
    }
    change(subject, refusal_state::unpromised, promise_outcome::broken);
    const auto place = book(request, longestWait, now);
    if (place) {
        subject.state = refusal_state::promised;
        notify(promise_outcome::made);
    }
    const time_span wait = place.value_or(longestWait);
    subject.from = now + std::chrono::duration_cast<time_span>(wait * earliestReturnFactor);
    subject.until = now + wait + returnTolerance;
    return place.value_or(maxWait);
}

std::optional<time_span> return_promises::book(const refused_request &request, time_span longestWait, monotonic_time now)
{
    flow &priorityFlow = m_flows[{ request.priority, std::nullopt }];
    flow &keyFlow = request.bottleneckKey ? m_flows[{ request.priority, request.bottleneckKey }] : priorityFlow;
    const auto priorityPlace = nextPlace(priorityFlow, now);
    const auto keyPlace = nextPlace(keyFlow, now);
    if (!priorityPlace || !keyPlace) {
        return std::nullopt;
    }
    const monotonic_time place = std::max({ *priorityPlace, *keyPlace, now + minWait });
    if (place > now + longestWait) {
        return std::nullopt;
    }
    priorityFlow.bookedUntil = place;
    keyFlow.bookedUntil = place;
    return place - now;
}

queue_standing return_promises::arrived(request_fingerprint fingerprint, bool present, monotonic_time now)
{
    if (present) {
        change(insert(fingerprint), refusal_state::ambiguous, promise_outcome::unused);
    }
    const auto found = m_refusals.find(fingerprint);
    if (found == m_refusals.end()) {
        return queue_standing::fresh;
    }
    refusal &subject = found->second;
    if (subject.state == refusal_state::ambiguous) {
        subject.made = now;
        subject.until = now + ambiguityLifetime;
        return queue_standing::fresh;
    }
    if (now > subject.until) {
        change(subject, refusal_state::unpromised, promise_outcome::unused);
        return queue_standing::fresh;
    }
    if (now < subject.from) {
        change(subject, refusal_state::unpromised, promise_outcome::early);
        return queue_standing::early;
    }
    if (subject.state == refusal_state::unpromised) {
        return queue_standing::fresh;
    }
    subject.state = refusal_state::returned;
    return queue_standing::returning;
}

void return_promises::granted(request_fingerprint fingerprint)
{
    const auto found = m_refusals.find(fingerprint);
    if (found != m_refusals.end() && found->second.state != refusal_state::ambiguous) {
        change(found->second, refusal_state::unpromised, promise_outcome::kept);
        m_refusals.erase(found);
    }
}

void return_promises::withdrawn(request_fingerprint fingerprint)
{
    const auto found = m_refusals.find(fingerprint);
    if (found != m_refusals.end() && found->second.state == refusal_state::returned) {
        found->second.state = refusal_state::promised;
    }
}

void return_promises::expire(monotonic_time now)
{
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + expiryCheckInterval;
    std::erase_if(m_refusals, [&](auto &item) {
        const bool expired = now > item.second.until && item.second.state != refusal_state::returned;
        if (expired && item.second.state == refusal_state::promised) {
            notify(promise_outcome::unused);
        }
        return expired;
    });
    for (auto &[id, subject] : m_flows) {
        subject.decay(now);
    }
    std::erase_if(m_flows, [&](const auto &item) {
        return item.second.grants < forgottenGrants && item.second.bookedUntil <= now;
    });
}

std::size_t return_promises::size() const noexcept
{
    return m_refusals.size();
}

void return_promises::change(refusal &subject, refusal_state state, promise_outcome outcome) const
{
    const bool ended = subject.state == refusal_state::promised || subject.state == refusal_state::returned;
    subject.state = state;
    if (ended) {
        notify(outcome);
    }
}

return_promises::refusal &return_promises::insert(request_fingerprint fingerprint)
{
    if (m_refusals.size() >= maxRefusals && !m_refusals.contains(fingerprint)) {
        const auto oldest = std::min_element(m_refusals.begin(), m_refusals.end(), [](const auto &left, const auto &right) {
            return left.second.made < right.second.made;
        });
        change(oldest->second, refusal_state::unpromised, promise_outcome::unused);
        m_refusals.erase(oldest);
    }
    return m_refusals[fingerprint];
}

void return_promises::notify(promise_outcome outcome) const
{
    if (m_observer) {
        m_observer(outcome);
    }
}

} // namespace sycamoretray
