#include "dispatch/transfer_wait_list.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamoretray
{

void transfer_wait_list::expect(const std::vector<hash_slot> &slots, monotonic_time until)
{
    if (slots.empty()) {
        m_allUntil = until;
    }
    for (const hash_slot slot : slots) {
        m_until[slot] = until;
    }
}

void transfer_wait_list::arrived(const std::vector<hash_slot> &slots)
{
    if (slots.empty()) {
        m_allUntil = {};
        m_until.clear();
    }
    for (const hash_slot slot : slots) {
        m_until.erase(slot);
    }
}

bool transfer_wait_list::isExpected(hash_slot slot, monotonic_time now) const
{
    const auto found = m_until.find(slot);
    return now < m_allUntil || (found != m_until.end() && now < found->second);
}

void transfer_wait_list::add(dispatch_request request)
{
    m_requests.push_back(std::move(request));
}

template<class Condition>
std::vector<dispatch_request> transfer_wait_list::takeIf(Condition condition)
{
    const auto first = std::stable_partition(m_requests.begin(), m_requests.end(), [&](const dispatch_request &each) {
        return !condition(each);
    });
    std::vector<dispatch_request> taken(std::make_move_iterator(first), std::make_move_iterator(m_requests.end()));
    m_requests.erase(first, m_requests.end());
    return taken;
}

std::vector<dispatch_request> transfer_wait_list::takeReady(monotonic_time now)
{
    return takeIf([&](const dispatch_request &each) {
        return each.deadline <= now || !isExpected(each.slot, now);
    });
}

std::vector<dispatch_request> transfer_wait_list::take(const std::vector<hash_slot> &slots)
{
    return takeIf([&](const dispatch_request &each) {
        return slots.empty() || std::find(slots.begin(), slots.end(), each.slot) != slots.end();
    });
}

std::optional<dispatch_request> transfer_wait_list::take(dispatch_id id)
{
    std::vector<dispatch_request> taken = takeIf([&](const dispatch_request &each) {
        return each.id == id;
    });
    return taken.empty() ? std::nullopt : std::optional(std::move(taken.front()));
}

std::size_t transfer_wait_list::size() const noexcept
{
    return m_requests.size();
}

} // namespace sycamoretray
