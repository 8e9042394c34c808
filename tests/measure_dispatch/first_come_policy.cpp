#include "first_come_policy.h"

namespace sycamoretray
{

namespace
{

constexpr std::size_t maxQueuedRequests = 1024;
constexpr int maxAttempts = 3;

} // namespace

first_come_policy::first_come_policy(std::uint32_t slots)
    : m_slots(slots)
{
}

void first_come_policy::finishRunning(dispatch_id id, result_code code, std::vector<dispatch_action> &actions)
{
    --m_running;
    m_entries.erase(id);
    actions.emplace_back(finish_request{ id, code, nullptr });
}

void first_come_policy::handle(dispatch_event event, monotonic_time now, wall_time /*wallNow*/, std::vector<dispatch_action> &actions)
{
    if (auto *request = std::get_if<dispatch_request>(&event)) {
        if (m_queue.size() >= maxQueuedRequests) {
            actions.emplace_back(finish_request{ request->id, result_code::queue_full, nullptr });
            return;
        }
        const dispatch_id id = request->id;
        m_queue.push_back(id);
        m_entries[id] = { std::move(*request), 0 };
    } else if (const auto *answered = std::get_if<server_answered>(&event)) {
        finishRunning(answered->id, result_code::ok, actions);
    } else if (const auto *failed = std::get_if<attempt_failed>(&event)) {
        entry &each = m_entries.at(failed->id);
        if (each.attempts < maxAttempts && !each.request.nonIdempotent) {
            --m_running;
            m_queue.push_front(failed->id);
        } else {
            finishRunning(failed->id, failed->code, actions);
        }
    } else if (const auto *valid = std::get_if<valid_until_changed>(&event)) {
        m_valid = valid->validUntil > now;
        m_term = valid->term;
    }
    while (m_valid && m_running < m_slots && !m_queue.empty()) {
        const dispatch_id id = m_queue.front();
        m_queue.pop_front();
        entry &each = m_entries.at(id);
        ++each.attempts;
        ++m_running;
        actions.emplace_back(send_request{ id, m_term, each.request.deadline - now });
    }
}

std::uint32_t first_come_policy::queued() const
{
    return static_cast<std::uint32_t>(m_queue.size());
}

} // namespace sycamoretray
