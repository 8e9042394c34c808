#include "permits/permit_queue.h"

#include <algorithm>

namespace sycamoretray
{

queue_ticket permit_queue::add(std::uint32_t priority, std::optional<key_number> key, time_span runTime)
{
    priority_state &state = m_priorities[priority];
    time_span startTag = state.virtualTime;
    if (key) {
        time_span &next = state.nextStartTags[*key];
        startTag = std::max(startTag, next);
        next = startTag + runTime;
    }
    const position added{ priority, startTag, queue_ticket(++m_lastTicket) };
    m_order.insert(added);
    m_entries.emplace(added.ticket, entry{ added, key, runTime });
    return added.ticket;
}

void permit_queue::remove(queue_ticket ticket)
{
    const auto found = m_entries.find(ticket);
    if (found == m_entries.end()) {
        return;
    }
    const entry &removed = found->second;
    if (removed.key) {
        std::map<key_number, time_span> &nextStartTags = m_priorities[removed.orderKey.priority].nextStartTags;
        const auto startTag = nextStartTags.find(*removed.key);
        if (startTag != nextStartTags.end() && startTag->second == removed.orderKey.startTag + removed.runTime) {
            startTag->second = removed.orderKey.startTag;
        }
    }
    erase(ticket);
}

queue_ticket permit_queue::takeFirst()
{
    const position first = *m_order.begin();
    priority_state &state = m_priorities[first.priority];
    state.virtualTime = std::max(state.virtualTime, first.startTag);
    std::erase_if(state.nextStartTags, [&](const auto &item) {
        return item.second <= state.virtualTime;
    });
    erase(first.ticket);
    return first.ticket;
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
