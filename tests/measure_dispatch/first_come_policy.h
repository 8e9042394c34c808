#pragma once

#include "dispatch_policy.h"

#include <deque>
#include <unordered_map>

namespace sycamoretray
{

/**
 * Baseline: a first-come-first-served queue of up to 1,024 requests for the worker slots. Interrupted idempotent requests
 * are retried without delay, up to three attempts. Deadlines, customers, classes and crashes are ignored.
 */
class first_come_policy final : public dispatch_policy
{
public:
    explicit first_come_policy(std::uint32_t slots);
    void handle(dispatch_event event, monotonic_time now, wall_time wallNow, std::vector<dispatch_action> &actions) override;
    std::uint32_t queued() const override;

private:
    struct entry {
        dispatch_request request;
        int attempts = 0;
    };

    void finishRunning(dispatch_id id, result_code code, std::vector<dispatch_action> &actions);

    std::uint32_t m_slots;
    std::uint32_t m_running = 0;
    bool m_valid = false;
    home_term m_term;
    std::deque<dispatch_id> m_queue;
    std::unordered_map<dispatch_id, entry> m_entries;
};

} // namespace sycamoretray
