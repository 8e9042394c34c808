#include "permits/permit_queue.h"

#include <algorithm>

namespace sycamoretray
{

queue_ticket permit_queue::add(std::uint32_t priority, std::optional<key_number> key, time_span work)
{
    rank_state &rank = m_ranks[priority];
    time_span turn = rank.current;
    if (key) {
        time_span &next = rank.next[*key];
        turn = std::max(turn, next);
        next = turn + work;
    }
    const position added{ priority, turn, queue_ticket(++m_lastTicket) };
    m_order.insert(added);
    m_entries.emplace(added.ticket, entry{ added, key, work });
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
        std::map<key_number, time_span> &next = m_ranks[removed.place.priority].next;
        const auto turn = next.find(*removed.key);
        if (turn != next.end() && turn->second == removed.place.turn + removed.work) {
            turn->second = removed.place.turn;
        }
    }
    erase(ticket);
}

queue_ticket permit_queue::takeFirst()
{
    const position first = *m_order.begin();
    rank_state &rank = m_ranks[first.priority];
    rank.current = std::max(rank.current, first.turn);
    std::erase_if(rank.next, [&](const auto &item) {
        return item.second <= rank.current;
    });
    erase(first.ticket);
    return first.ticket;
}

void permit_queue::erase(queue_ticket ticket)
{
    const auto found = m_entries.find(ticket);
    m_order.erase(found->second.place);
    m_entries.erase(found);
    if (m_order.empty()) {
        m_ranks.clear();
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
