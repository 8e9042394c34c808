#include "permits/permit_queue.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// A priority is entitled to this part of the service that requests get on average.
constexpr double leastServicePart = 0.25;
// Places that a priority can save up, so that the share of a quiet time is not used in one burst.
constexpr double maxSavedPlaces = 2;
constexpr double servedPartWindow = 64;

} // namespace

queue_ticket permit_queue::add(std::uint32_t priority, std::optional<key_number> key, time_span runTime)
{
    return add({ priority, key, runTime, queue_standing::fresh, {} });
}

queue_ticket permit_queue::add(const queued_request &request)
{
    position added{ request.priority, {}, request.standing, request.usefulUntil, queue_ticket(++m_lastTicket) };
    if (takeShare(request)) {
        added.priority = m_order.begin()->priority;
        added.standing = queue_standing::returning;
    }
    added.startTag = takeStartTag(added, request);
    m_order.insert(added);
    m_entries.emplace(added.ticket, entry{ added, request });
    return added.ticket;
}

bool permit_queue::takeShare(const queued_request &request)
{
    double &places = m_shares[request.priority];
    places = std::min(maxSavedPlaces, places + leastServicePart * m_servedPart);
    const bool urgentFirst = !m_order.empty() && m_order.begin()->priority < request.priority;
    if (!urgentFirst || request.standing == queue_standing::early || places < 1) {
        return false;
    }
    places -= 1;
    return true;
}

time_span permit_queue::takeStartTag(const position &orderKey, const queued_request &request)
{
    priority_state &state = m_priorities[orderKey.priority];
    if (!request.key) {
        return state.virtualTime;
    }
    key_tags &tags = state.nextStartTags[*request.key];
    const time_span startTag = std::max(state.virtualTime, tags.of(orderKey.standing));
    tags.of(orderKey.standing) = startTag + request.runTime;
    if (orderKey.standing == queue_standing::returning) {
        tags.fresh = std::max(state.virtualTime, tags.fresh) + request.runTime;
    }
    return startTag;
}

void permit_queue::remove(queue_ticket ticket)
{
    const auto found = m_entries.find(ticket);
    if (found == m_entries.end()) {
        return;
    }
    const entry &removed = found->second;
    if (removed.request.key) {
        std::map<key_number, key_tags> &nextStartTags = m_priorities[removed.orderKey.priority].nextStartTags;
        const auto tags = nextStartTags.find(*removed.request.key);
        if (tags != nextStartTags.end() && tags->second.of(removed.orderKey.standing) == removed.orderKey.startTag + removed.request.runTime) {
            tags->second.of(removed.orderKey.standing) = removed.orderKey.startTag;
        }
    }
    recordOutcome(removed, false);
    erase(ticket);
}

void permit_queue::recordOutcome(const entry &ended, bool served)
{
    m_servedPart += ((served ? 1 : 0) - m_servedPart) / servedPartWindow;
    double &places = m_shares[ended.request.priority];
    const bool usedShare = ended.orderKey.priority != ended.request.priority;
    if (usedShare && !served) {
        places = std::min(maxSavedPlaces, places + 1);
    } else if (!usedShare && served) {
        places = std::max(0.0, places - 1);
    }
}

queue_ticket permit_queue::takeFirst()
{
    const queue_ticket first = m_order.begin()->ticket;
    take(first);
    return first;
}

void permit_queue::take(queue_ticket ticket)
{
    const entry &taken = m_entries.at(ticket);
    priority_state &state = m_priorities[taken.orderKey.priority];
    state.virtualTime = std::max(state.virtualTime, taken.orderKey.startTag);
    std::erase_if(state.nextStartTags, [&](const auto &item) {
        return std::max(item.second.fresh, item.second.returning) <= state.virtualTime;
    });
    recordOutcome(taken, true);
    erase(ticket);
}

void permit_queue::erase(queue_ticket ticket)
{
    const auto found = m_entries.find(ticket);
    m_order.erase(found->second.orderKey);
    m_entries.erase(found);
    if (m_order.empty()) {
        m_priorities.clear();
    }
}

std::optional<queue_ticket> permit_queue::first() const
{
    return m_order.empty() ? std::nullopt : std::optional(m_order.begin()->ticket);
}

bool permit_queue::empty() const noexcept
{
    return m_order.empty();
}

} // namespace sycamoretray
