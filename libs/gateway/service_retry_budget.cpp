#include "gateway/service_retry_budget.h"

#include <algorithm>
#include <cmath>

namespace sycamoretray
{

namespace
{

// Assumed number of instances before any have reported to an assigner.
constexpr std::uint32_t initialInstances = 16;
// Share of the limit that is used. The rest is a margin for sliding windows and for different loads of the instances.
constexpr double usedShare = 0.7;

} // namespace

service_retry_budget::service_retry_budget(service_retry_budget_settings settings)
    : m_settings(settings)
    , m_instances(initialInstances)
{
}

void service_retry_budget::setInstances(std::uint32_t instances)
{
    m_instances = std::max(1U, instances);
}

double service_retry_budget::instanceSlack() const
{
    // Half of the slack can be saved and the other half is refilled within a window, so that no window exceeds the whole slack.
    return m_settings.slack * usedShare / 2 / m_instances;
}

/** Limit of the retries that can be saved for bursts of failures. */
double service_retry_budget::maxBalance() const
{
    return std::max(1.0, instanceSlack() + m_requests * m_settings.share * (1 - usedShare));
}

void service_retry_budget::refill(monotonic_time now)
{
    if (!m_started) {
        m_started = true;
        m_balance = instanceSlack();
        m_refilled = now;
        return;
    }
    const double windows = std::chrono::duration<double>(now - m_refilled) / std::chrono::duration<double>(m_settings.window);
    m_refilled = now;
    m_requests *= std::exp(-windows);
    m_balance = std::min(maxBalance(), m_balance + windows * instanceSlack());
}

void service_retry_budget::earn(monotonic_time now)
{
    refill(now);
    m_requests += 1;
    m_balance = std::min(maxBalance(), m_balance + m_settings.share * usedShare);
}

bool service_retry_budget::spend(monotonic_time now)
{
    refill(now);
    if (m_balance < 1) {
        return false;
    }
    m_balance -= 1;
    return true;
}

} // namespace sycamoretray
