#include "http_message/buffer_budget.h"

#include <algorithm>

namespace sycamoretray
{

bool buffer_budget::tryReserve(std::uint64_t bytes, reservation_purpose purpose)
{
    while (!fits(bytes, purpose)) {
        if (!reclaimLargest()) {
            ++(purpose == reservation_purpose::request ? m_events.failedRequests : m_events.failedAnswers);
            return false;
        }
    }
    m_used += bytes;
    return true;
}

bool buffer_budget::fits(std::uint64_t bytes, reservation_purpose purpose) const noexcept
{
    const std::uint64_t limit = purpose == reservation_purpose::answer ? m_limit + m_limit / 4 : m_limit;
    return m_used <= limit && bytes <= limit - m_used;
}

bool buffer_budget::reclaimLargest()
{
    budget_holder *largest = nullptr;
    std::uint64_t most = 0;
    for (budget_holder *holder : m_holders) {
        const std::uint64_t bytes = holder->reclaimableBytes();
        if (bytes > most) {
            largest = holder;
            most = bytes;
        }
    }
    if (largest == nullptr) {
        return false;
    }
    ++m_events.reclaimed;
    largest->reclaim();
    return true;
}

void buffer_budget::add(budget_holder &holder)
{
    m_holders.push_back(&holder);
}

void buffer_budget::remove(budget_holder &holder) noexcept
{
    const auto found = std::ranges::find(m_holders, &holder);
    if (found != m_holders.end()) {
        *found = m_holders.back();
        m_holders.pop_back();
    }
}

} // namespace sycamoretray
