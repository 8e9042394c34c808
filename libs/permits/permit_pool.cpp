#include "permits/permit_pool.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sycamoretray
{

namespace
{

// An instance confirms a waiting request more often than this; one that does not is considered lost.
constexpr time_span refreshTimeout = std::chrono::milliseconds(1300);
// Interval between checks for waiting requests that can no longer be answered in time.
constexpr time_span deadlineCheckInterval = std::chrono::milliseconds(50);
// A permit that is not returned expires after this many typical run times, but not before the minimum.
constexpr int expiryInTypicalRunTimes = 8;
constexpr time_span minExpiry = std::chrono::seconds(1);
// A response shows that the endpoint was reachable at that time; a busy one responds several times in it.
constexpr time_span responseLifetime = std::chrono::milliseconds(300);
constexpr time_span maxRetryAfter = std::chrono::seconds(2);
// A new request is admitted only if its answer is expected before this last part of its useful time. In an overloaded queue of a service, 47 % of
// all requests are answered late without a margin, and 15 % with this one. The queue of an owner of keys has only a few worker slots, where a margin
// leaves requests unserved.
constexpr double newRequestMargin = 0.2;
// An endpoint that was already tried for a request is used again only if all others are slower by this factor.
constexpr double triedEndpointPenalty = 5;
constexpr double minSlowness = 0.1;
constexpr double minRunSeconds = 0.000001;

} // namespace

permit_pool::pool_endpoint::pool_endpoint(const listed_endpoint &listed)
    : limiter(listed, sender_mode::sole_sender)
{
}

void permit_pool::pool_endpoint::recordResponse(const network_address &instance, monotonic_time now)
{
    if (!(lastResponse.instance == instance)) {
        lastResponseOfOther = std::move(lastResponse);
    }
    lastResponse = { instance, now };
}

bool permit_pool::pool_endpoint::respondsToOthers(const network_address &instance, monotonic_time now) const
{
    const instance_response &other = lastResponse.instance == instance ? lastResponseOfOther : lastResponse;
    return other.at && now - *other.at < responseLifetime;
}

void permit_pool::setPromiseObserver(std::function<void(promise_outcome)> observer)
{
    m_promises.setObserver(std::move(observer));
}

void permit_pool::setEndpoints(const std::vector<listed_endpoint> &endpoints)
{
    for (auto &[incarnation, endpoint] : m_endpoints) {
        endpoint.limiter.unlist();
    }
    for (const listed_endpoint &listed : endpoints) {
        const auto [position, inserted] = m_endpoints.try_emplace(listed.entry.incarnation, listed);
        position->second.limiter.update(listed);
    }
    std::erase_if(m_endpoints, [](const auto &item) {
        return !item.second.limiter.isListed() && item.second.used.empty();
    });
    std::vector<endpoint_incarnation> listed;
    for (const auto &[incarnation, endpoint] : m_endpoints) {
        if (endpoint.limiter.isListed()) {
            listed.push_back(incarnation);
        }
    }
    m_failures.setEndpoints(listed);
}

void permit_pool::limitWhileCold(std::optional<request_rate> rate, bool countsAll, monotonic_time now)
{
    for (auto &[incarnation, endpoint] : m_endpoints) {
        endpoint.limiter.setCountsAllRequests(countsAll);
        endpoint.limiter.limitWhileCold(rate, now);
    }
}

bool permit_pool::hasEndpoints() const noexcept
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [](const auto &item) {
        return item.second.limiter.isListed();
    });
}

void permit_pool::enqueue(const permit_holder &holder, const permit_request &request, monotonic_time now)
{
    updateLimits(request, now);
    const monotonic_time usefulUntil = now + request.maxAnswerTime;
    const queue_standing standing
        = request.fingerprint ? m_promises.arrived(*request.fingerprint, m_present.contains(*request.fingerprint), now) : queue_standing::fresh;
    // The time stated by a request that can go to another zone is no measure of its urgency.
    const monotonic_time orderedBy = mayGoToOtherZone(request) ? monotonic_time::max() : usefulUntil;
    const queue_ticket ticket = m_queue.add({ request.priority, request.key, request.typicalRunTime, standing, orderedBy });
    m_waiting.emplace(ticket, waiting_entry{ holder, request, usefulUntil, now, standing });
    m_tickets[holder] = ticket;
    if (request.fingerprint) {
        ++m_present[*request.fingerprint];
    }
}

void permit_pool::removePresent(const std::optional<request_fingerprint> &fingerprint)
{
    const auto found = fingerprint ? m_present.find(*fingerprint) : m_present.end();
    if (found != m_present.end() && --found->second == 0) {
        m_present.erase(found);
    }
}

void permit_pool::updateLimits(const permit_request &request, monotonic_time now)
{
    for (auto &[incarnation, endpoint] : m_endpoints) {
        endpoint.limiter.setLimitRole(request.role);
    }
    if (!request.owner || !request.ownerLimit) {
        return;
    }
    const auto found = m_endpoints.find(*request.owner);
    if (found != m_endpoints.end()) {
        found->second.limiter.recordKnownLimit(*request.ownerLimit, now);
    }
}

bool permit_pool::refresh(const permit_holder &holder, monotonic_time now)
{
    const auto found = m_tickets.find(holder);
    if (found == m_tickets.end()) {
        return false;
    }
    m_waiting.at(found->second).lastRefresh = now;
    return true;
}

bool permit_pool::knows(const permit_holder &holder) const
{
    return m_tickets.contains(holder) || m_used.contains(holder);
}

std::optional<endpoint_incarnation> permit_pool::grantedEndpoint(const permit_holder &holder) const
{
    const auto found = m_used.find(holder);
    return found == m_used.end() ? std::nullopt : std::optional(found->second.endpoint);
}

void permit_pool::release(const permit_holder &holder, const permit_result &result, monotonic_time now)
{
    if (const auto ticket = m_tickets.find(holder); ticket != m_tickets.end()) {
        const waiting_entry &entry = m_waiting.at(ticket->second);
        if (entry.request.fingerprint) {
            m_promises.withdrawn(*entry.request.fingerprint);
        }
        removePresent(entry.request.fingerprint);
        m_queue.remove(ticket->second);
        m_waiting.erase(ticket->second);
        m_tickets.erase(ticket);
        return;
    }
    const auto found = m_used.find(holder);
    if (found == m_used.end()) {
        return;
    }
    const used_permit used = found->second;
    m_used.erase(found);
    removePresent(used.fingerprint);
    pool_endpoint &endpoint = m_endpoints.at(used.endpoint);
    endpoint.used.remove(holder);
    endpoint_reply reply;
    reply.kind = result.kind;
    reply.sent = result.sent;
    reply.misdirected = result.misdirected;
    reply.response.status = result.status;
    reply.load = result.load;
    reply.requestLimit = result.requestLimit;
    if (hasResponse(reply)) {
        endpoint.recordResponse(holder.instance, now);
    }
    const bool pathOfSenderLost = result.finished && !result.sent && endpoint.respondsToOthers(holder.instance, now);
    recordOutcome(holder, used, result, reply, pathOfSenderLost, now);
    if (pathOfSenderLost) {
        endpoint.limiter.aborted(time_span::zero(), used.typicalRunTime);
    } else if (!result.finished) {
        const bool ran = result.sent && used.started;
        endpoint.limiter.aborted(ran ? now - *used.started : time_span::zero(), used.typicalRunTime);
    } else if (result.kind == reply_kind::answered) {
        endpoint.limiter.answered(reply, now - used.started.value_or(now), used.typicalRunTime, now);
    } else {
        endpoint.limiter.failed(reply, now);
    }
    markRunning(endpoint, now);
}

void permit_pool::markRunning(pool_endpoint &endpoint, monotonic_time now)
{
    std::uint32_t slots = endpoint.limiter.entry().workerSlots;
    for (const permit_holder &holder : endpoint.used) {
        if (slots-- == 0) {
            return;
        }
        used_permit &used = m_used.at(holder);
        if (!used.started) {
            used.started = now;
        }
    }
}

std::vector<permit_decision> permit_pool::decide(monotonic_time now)
{
    std::vector<permit_decision> decisions;
    releaseExpired(now);
    m_promises.expire(now);
    std::vector<queue_ticket> order;
    order.reserve(m_waiting.size());
    m_queue.forEach([&](queue_ticket ticket) {
        order.push_back(ticket);
    });
    for (const queue_ticket ticket : order) {
        const auto entry = m_waiting.find(ticket);
        pool_endpoint *endpoint = chooseEndpoint(entry->second.request, now);
        if (endpoint == nullptr && mayGoToOtherZone(entry->second.request)) {
            // It takes only endpoints that answer within a short time, and must not block requests that take any.
            continue;
        }
        if (endpoint == nullptr) {
            break;
        }
        m_queue.take(ticket);
        decisions.emplace_back(grant(*endpoint, entry->second, now));
        m_tickets.erase(entry->second.holder);
        m_waiting.erase(entry);
    }
    refuseExpectedLate(decisions, now);
    return decisions;
}

bool permit_pool::mayGoToOtherZone(const permit_request &request) noexcept
{
    // Instances of earlier versions state neither a fingerprint nor the caller's time.
    return !request.owner && request.fingerprint && !request.callerTimeLeft;
}

granted_permit permit_pool::grant(pool_endpoint &endpoint, const waiting_entry &entry, monotonic_time now)
{
    const endpoint_incarnation &incarnation = endpoint.limiter.entry().incarnation;
    const time_span typicalRunTime = entry.request.typicalRunTime;
    m_used[entry.holder]
        = { incarnation, typicalRunTime, now, std::nullopt, now + std::max(minExpiry, typicalRunTime * expiryInTypicalRunTimes), entry.request.fingerprint };
    endpoint.used.push_back(entry.holder);
    endpoint.limiter.sent(now);
    m_failures.sent(incarnation);
    markRunning(endpoint, now);
    m_promises.recordGrant(entry.request.priority, entry.request.key, now);
    if (entry.request.fingerprint) {
        m_promises.granted(*entry.request.fingerprint);
    }
    return { entry.holder, incarnation };
}

permit_pool::pool_endpoint *permit_pool::chooseEndpoint(const permit_request &request, monotonic_time now)
{
    if (pool_endpoint *trial = chooseForTrial(request, now)) {
        return trial;
    }
    pool_endpoint *best = nullptr;
    double bestTime = 0;
    for (auto &[incarnation, endpoint] : m_endpoints) {
        if (!isUsable(endpoint, request, now) || m_failures.isEjected(incarnation)) {
            continue;
        }
        // An endpoint that is too slow gets one request at a time, which shows whether it has become fast enough.
        if (isTooSlow(endpoint, request, now) && !endpoint.used.empty()) {
            continue;
        }
        double time = comparedTime(endpoint, now);
        if (std::find(request.triedEndpoints.begin(), request.triedEndpoints.end(), incarnation.endpoint) != request.triedEndpoints.end()) {
            time *= triedEndpointPenalty;
        }
        if (best == nullptr || time < bestTime) {
            best = &endpoint;
            bestTime = time;
        }
    }
    return best;
}

double permit_pool::slowness(const pool_endpoint &endpoint, monotonic_time now) const
{
    // Requests that the endpoint refuses or fails deliberately do not occupy its worker slots, and are left out.
    double result = endpoint.limiter.runSlowness(now);
    // While all worker slots are busy, the age of the newest running request is a lower bound of the slowness.
    std::uint32_t slots = endpoint.limiter.entry().workerSlots;
    if (endpoint.used.size() < slots) {
        return result;
    }
    double newest = std::numeric_limits<double>::max();
    for (const permit_holder &holder : endpoint.used) {
        if (slots-- == 0) {
            break;
        }
        const used_permit &used = m_used.at(holder);
        const time_span age = now - used.started.value_or(now);
        newest = std::min(newest, static_cast<double>(age.count()) / static_cast<double>(std::max<std::int64_t>(1, used.typicalRunTime.count())));
    }
    return std::max(result, newest);
}

permit_pool::pool_throughput permit_pool::throughput(monotonic_time now) const
{
    pool_throughput result;
    bool first = true;
    for (const auto &[incarnation, endpoint] : m_endpoints) {
        if (endpoint.limiter.isListed() && !m_failures.isEjected(incarnation)) {
            const double each = slowness(endpoint, now);
            const double slots = endpoint.limiter.entry().workerSlots / std::max(minSlowness, each);
            result.lowestSlowness = first ? each : std::min(result.lowestSlowness, each);
            first = false;
            if (const auto rate = endpoint.limiter.usableRate(now)) {
                result.limited.push_back({ slots, rate->value() });
                result.limitedUntil = std::min(result.limitedUntil, endpoint.limiter.blockedUntil());
            } else {
                result.slots += slots;
            }
        }
    }
    return result;
}

time_span permit_pool::expectedWait(const pool_throughput &present, double requestsAhead, time_span typicalRunTime, monotonic_time now)
{
    const double runSeconds = std::max(minRunSeconds, std::chrono::duration<double>(typicalRunTime).count());
    double perSecond = present.slots / runSeconds;
    for (const limited_slots &each : present.limited) {
        perSecond += std::min(each.slots / runSeconds, each.perSecond);
    }
    if (perSecond <= 0) {
        return maxRetryAfter;
    }
    time_span untilUsable{};
    if (present.slots == 0) {
        // The first request is sent as soon as a limit allows it, the others follow at the rate of the limits.
        untilUsable = std::max(time_span::zero(), present.limitedUntil - now);
        requestsAhead -= 1;
    }
    return untilUsable + std::chrono::duration_cast<time_span>(std::chrono::duration<double>(requestsAhead / perSecond));
}

void permit_pool::refuseExpectedLate(std::vector<permit_decision> &decisions, monotonic_time now)
{
    std::vector<queue_ticket> expectedLate;
    const pool_throughput present = throughput(now);
    // Starts at 1 for the request that is granted beyond the worker slots.
    double requestsAhead = 1;
    m_queue.forEach([&](queue_ticket ticket) {
        const waiting_entry &entry = m_waiting.at(ticket);
        const time_span typicalRunTime = entry.request.typicalRunTime;
        const time_span wait = expectedWait(present, requestsAhead, typicalRunTime, now);
        const auto work = std::chrono::duration_cast<time_span>(typicalRunTime * present.lowestSlowness);
        if (now + wait + work > entry.usefulUntil - admissionMargin(entry) || hasOnlySlowEndpoints(entry.request, now)) {
            expectedLate.push_back(ticket);
        } else {
            ++requestsAhead;
        }
    });
    for (const queue_ticket ticket : expectedLate) {
        decisions.emplace_back(refuse(ticket, now));
    }
}

time_span permit_pool::admissionMargin(const waiting_entry &entry)
{
    // A refusal that the caller is not told of sends the request to another zone, within a bound of its own.
    if (entry.standing == queue_standing::returning || entry.request.owner || mayGoToOtherZone(entry.request)) {
        return time_span::zero();
    }
    return std::chrono::duration_cast<time_span>(entry.request.maxAnswerTime * newRequestMargin);
}

refused_permit permit_pool::refuse(queue_ticket ticket, monotonic_time now)
{
    const auto entry = m_waiting.find(ticket);
    const refused_permit refusal{ entry->second.holder, retryAfter(entry->second, now) };
    m_queue.remove(ticket);
    removePresent(entry->second.request.fingerprint);
    m_tickets.erase(entry->second.holder);
    m_waiting.erase(entry);
    return refusal;
}

time_span permit_pool::retryAfter(const waiting_entry &entry, monotonic_time now)
{
    const permit_request &request = entry.request;
    if (!request.fingerprint) {
        return maxRetryAfter;
    }
    if (!request.callerTimeLeft) {
        // Another zone is asked next; the caller does not learn of this refusal.
        m_promises.withdrawn(*request.fingerprint);
        return maxRetryAfter;
    }
    const std::optional<key_number> bottleneckKey = waitsForOwnKey(entry) ? request.key : std::nullopt;
    const time_span waited = now + request.maxAnswerTime - entry.usefulUntil;
    return m_promises.refused({ *request.fingerprint, request.priority, bottleneckKey, *request.callerTimeLeft - waited }, now);
}

bool permit_pool::waitsForOwnKey(const waiting_entry &entry) const
{
    return entry.request.key && std::any_of(m_waiting.begin(), m_waiting.end(), [&](const auto &item) {
               return item.second.request.key == entry.request.key && !(item.second.holder == entry.holder);
           });
}

void permit_pool::releaseExpired(monotonic_time now)
{
    std::vector<permit_holder> expired;
    for (const auto &[holder, used] : m_used) {
        if (now >= used.expires) {
            expired.push_back(holder);
        }
    }
    for (const auto &[ticket, entry] : m_waiting) {
        if (now - entry.lastRefresh >= refreshTimeout) {
            expired.push_back(entry.holder);
        }
    }
    // An endpoint that does not answer holds its requests beyond the time at which permits expire. A lost sender gets no responses of others.
    permit_result result;
    result.timedOut = true;
    for (const permit_holder &holder : expired) {
        release(holder, result, now);
    }
}

std::vector<permit_holder> permit_pool::removeWaiting()
{
    std::vector<permit_holder> result;
    for (const auto &[ticket, entry] : m_waiting) {
        result.push_back(entry.holder);
        removePresent(entry.request.fingerprint);
    }
    m_queue = {};
    m_waiting.clear();
    m_tickets.clear();
    return result;
}

monotonic_time permit_pool::nextDue(monotonic_time now) const
{
    monotonic_time next = monotonic_time::max();
    for (const auto &[holder, used] : m_used) {
        next = std::min(next, used.expires);
    }
    if (m_waiting.empty()) {
        return next;
    }
    next = std::min(next, now + deadlineCheckInterval);
    for (const auto &[incarnation, endpoint] : m_endpoints) {
        if (endpoint.limiter.blockedUntil() > now) {
            next = std::min(next, endpoint.limiter.blockedUntil());
        }
    }
    return std::min(next, m_failures.nextTrial(now));
}

bool permit_pool::isIdle() const noexcept
{
    return m_waiting.empty() && m_used.empty();
}

std::size_t permit_pool::waiting() const noexcept
{
    return m_waiting.size();
}

std::size_t permit_pool::inUse() const noexcept
{
    return m_used.size();
}

} // namespace sycamoretray
