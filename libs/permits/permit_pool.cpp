#include "permits/permit_pool.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sycamoretray
{

namespace
{

// An instance repeats its question more often than this while it waits; one that does not has gone.
constexpr time_span refreshLimit = std::chrono::milliseconds(1300);
// Waiting requests are looked through this often for those that have become too late.
constexpr time_span lateCheckInterval = std::chrono::milliseconds(50);
// A permit that is not given back is taken for lost after this many usual times, but not before the least time.
constexpr int lostAfterUsualTimes = 8;
constexpr time_span leastUse = std::chrono::seconds(1);
constexpr time_span shortestRetry = std::chrono::milliseconds(100);
constexpr time_span longestRetry = std::chrono::seconds(2);
// An endpoint that the request has been at is used only if the others would take this much longer.
constexpr double triedFactor = 5;
constexpr double leastSlowness = 0.1;

} // namespace

permit_pool::pool_endpoint::pool_endpoint(const listed_endpoint &listed)
    : gate(listed, gate_use::sole_sender)
{
}

void permit_pool::setEndpoints(const std::vector<listed_endpoint> &endpoints)
{
    for (auto &[life, endpoint] : m_endpoints) {
        endpoint.gate.unlist();
    }
    for (const listed_endpoint &listed : endpoints) {
        const auto [position, inserted] = m_endpoints.try_emplace(listed.entry.life, listed);
        position->second.gate.update(listed);
    }
    std::erase_if(m_endpoints, [](const auto &item) {
        return !item.second.gate.isListed() && item.second.used.empty();
    });
}

bool permit_pool::hasEndpoints() const noexcept
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [](const auto &item) {
        return item.second.gate.isListed();
    });
}

void permit_pool::ask(const permit_holder &holder, const permit_request &request, monotonic_time now)
{
    const queue_ticket ticket = m_queue.add(request.priority, request.key, request.usual);
    m_waiting.emplace(ticket, waiting_entry{ holder, request, now + request.useful, now });
    m_tickets[holder] = ticket;
}

bool permit_pool::refresh(const permit_holder &holder, monotonic_time now)
{
    const auto found = m_tickets.find(holder);
    if (found == m_tickets.end()) {
        return false;
    }
    m_waiting.at(found->second).refreshed = now;
    return true;
}

bool permit_pool::knows(const permit_holder &holder) const
{
    return m_tickets.contains(holder) || m_used.contains(holder);
}

std::optional<endpoint_life> permit_pool::granted(const permit_holder &holder) const
{
    const auto found = m_used.find(holder);
    return found == m_used.end() ? std::nullopt : std::optional(found->second.endpoint);
}

void permit_pool::giveBack(const permit_holder &holder, const permit_result &result, monotonic_time now)
{
    if (const auto ticket = m_tickets.find(holder); ticket != m_tickets.end()) {
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
    pool_endpoint &endpoint = m_endpoints.at(used.endpoint);
    endpoint.used.remove(holder);
    endpoint_reply reply;
    reply.kind = result.kind;
    reply.sent = result.sent;
    reply.misdirected = result.misdirected;
    reply.response.status = result.status;
    reply.load = result.load;
    if (!result.finished) {
        endpoint.gate.aborted(used.started ? now - *used.started : time_span::zero(), used.usual);
    } else if (result.kind == reply_kind::answered) {
        endpoint.gate.answered(reply, now - used.started.value_or(now), used.usual, now);
    } else {
        endpoint.gate.failed(reply, now);
    }
    startNext(endpoint, now);
}

void permit_pool::startNext(pool_endpoint &endpoint, monotonic_time now)
{
    std::uint32_t slots = endpoint.gate.entry().workerSlots;
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
    expire(now);
    while (const auto first = m_queue.first()) {
        const auto entry = m_waiting.find(*first);
        pool_endpoint *endpoint = choose(entry->second.request, now);
        if (endpoint == nullptr) {
            break;
        }
        m_queue.takeFirst();
        decisions.emplace_back(grant(*endpoint, entry->second, now));
        m_tickets.erase(entry->second.holder);
        m_waiting.erase(entry);
    }
    refuseLate(decisions, now);
    return decisions;
}

granted_permit permit_pool::grant(pool_endpoint &endpoint, const waiting_entry &entry, monotonic_time now)
{
    const endpoint_life &life = endpoint.gate.entry().life;
    const time_span usual = entry.request.usual;
    m_used[entry.holder] = { life, usual, std::nullopt, now + std::max(leastUse, usual * lostAfterUsualTimes) };
    endpoint.used.push_back(entry.holder);
    endpoint.gate.sent();
    startNext(endpoint, now);
    return { entry.holder, life };
}

permit_pool::pool_endpoint *permit_pool::choose(const permit_request &request, monotonic_time now)
{
    pool_endpoint *best = nullptr;
    double bestTime = 0;
    for (auto &[life, endpoint] : m_endpoints) {
        const bool usable = endpoint.gate.isListed() && (request.owner || !endpoint.gate.entry().draining) && endpoint.gate.hasRoom(now);
        if (!usable) {
            continue;
        }
        const double queueFactor = endpoint.gate.queueFactor(now);
        const double slow = slowness(endpoint, now);
        // One request at a time shows whether an endpoint has become fast enough again.
        if (request.usual * (slow * queueFactor) > request.useful && !endpoint.used.empty()) {
            continue;
        }
        double time = std::max(slow, endpoint.gate.presentSlowness(now)) * queueFactor;
        if (std::find(request.tried.begin(), request.tried.end(), life.endpoint) != request.tried.end()) {
            time *= triedFactor;
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
    // Requests that the endpoint fails or refuses on purpose take no time of its worker slots.
    double result = endpoint.gate.runSlowness(now);
    // If all worker slots have been busy for long, even the newest request bounds the speed from above.
    std::uint32_t slots = endpoint.gate.entry().workerSlots;
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
        newest = std::min(newest, static_cast<double>(age.count()) / static_cast<double>(std::max<std::int64_t>(1, used.usual.count())));
    }
    return std::max(result, newest);
}

permit_pool::pool_speed permit_pool::speed(monotonic_time now) const
{
    pool_speed result;
    for (const auto &[life, endpoint] : m_endpoints) {
        if (endpoint.gate.isListed()) {
            const double each = slowness(endpoint, now);
            result.leastSlowness = result.slots == 0 ? each : std::min(result.leastSlowness, each);
            result.slots += endpoint.gate.entry().workerSlots / std::max(leastSlowness, each);
        }
    }
    return result;
}

void permit_pool::refuseLate(std::vector<permit_decision> &decisions, monotonic_time now)
{
    std::vector<std::pair<queue_ticket, time_span>> late;
    const pool_speed present = speed(now);
    // The endpoint's own queue holds one more request.
    double ahead = 1;
    m_queue.forEach([&](queue_ticket ticket) {
        const waiting_entry &entry = m_waiting.at(ticket);
        const time_span usual = entry.request.usual;
        const auto wait = present.slots > 0 ? std::chrono::duration_cast<time_span>(usual * (ahead / present.slots)) : longestRetry;
        const auto work = std::chrono::duration_cast<time_span>(usual * present.leastSlowness);
        if (now + wait + work > entry.usefulUntil) {
            late.emplace_back(ticket, wait);
        } else {
            ++ahead;
        }
    });
    for (const auto &[ticket, wait] : late) {
        const auto entry = m_waiting.find(ticket);
        decisions.emplace_back(refused_permit{ entry->second.holder, std::clamp(wait, shortestRetry, longestRetry) });
        m_queue.remove(ticket);
        m_tickets.erase(entry->second.holder);
        m_waiting.erase(entry);
    }
}

void permit_pool::expire(monotonic_time now)
{
    std::vector<permit_holder> lost;
    for (const auto &[holder, used] : m_used) {
        if (now >= used.expires) {
            lost.push_back(holder);
        }
    }
    for (const auto &[ticket, entry] : m_waiting) {
        if (now - entry.refreshed >= refreshLimit) {
            lost.push_back(entry.holder);
        }
    }
    for (const permit_holder &holder : lost) {
        giveBack(holder, {}, now);
    }
}

std::vector<permit_holder> permit_pool::takeWaiting()
{
    std::vector<permit_holder> result;
    for (const auto &[ticket, entry] : m_waiting) {
        result.push_back(entry.holder);
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
    next = std::min(next, now + lateCheckInterval);
    for (const auto &[life, endpoint] : m_endpoints) {
        if (endpoint.gate.blockedUntil() > now) {
            next = std::min(next, endpoint.gate.blockedUntil());
        }
    }
    return next;
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
