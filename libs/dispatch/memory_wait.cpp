#include "dispatch/memory_wait.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamoretray
{

void memory_wait::expect(const std::vector<hash_slot> &slots, monotonic_time until)
{
    if (slots.empty()) {
        m_allUntil = until;
    }
    for (const hash_slot slot : slots) {
        m_until[slot] = until;
    }
}

void memory_wait::arrived(const std::vector<hash_slot> &slots)
{
    if (slots.empty()) {
        m_allUntil = {};
        m_until.clear();
    }
    for (const hash_slot slot : slots) {
        m_until.erase(slot);
    }
}

bool memory_wait::isExpected(hash_slot slot, monotonic_time now) const
{
    const auto found = m_until.find(slot);
    return now < m_allUntil || (found != m_until.end() && now < found->second);
}

void memory_wait::add(dispatch_request request)
{
    m_requests.push_back(std::move(request));
}

template<class Condition>
std::vector<dispatch_request> memory_wait::takeIf(Condition condition)
{
    const auto first = std::stable_partition(m_requests.begin(), m_requests.end(), [&](const dispatch_request &each) {
        return !condition(each);
    });
    std::vector<dispatch_request> taken(std::make_move_iterator(first), std::make_move_iterator(m_requests.end()));
    m_requests.erase(first, m_requests.end());
    return taken;
}

std::vector<dispatch_request> memory_wait::takeReady(monotonic_time now)
{
    return takeIf([&](const dispatch_request &each) {
        return each.deadline <= now || !isExpected(each.slot, now);
    });
}

std::vector<dispatch_request> memory_wait::take(const std::vector<hash_slot> &slots)
{
    return takeIf([&](const dispatch_request &each) {
        return slots.empty() || std::find(slots.begin(), slots.end(), each.slot) != slots.end();
    });
}

std::optional<dispatch_request> memory_wait::take(dispatch_id id)
{
    std::vector<dispatch_request> taken = takeIf([&](const dispatch_request &each) {
        return each.id == id;
    });
    return taken.empty() ? std::nullopt : std::optional(std::move(taken.front()));
}

std::size_t memory_wait::size() const noexcept
{
    return m_requests.size();
}

} // namespace sycamoretray
