#include "gateway/retry_allowance.h"

#include <algorithm>
#include <cmath>

namespace sycamoretray
{

namespace
{

// Instances counted before any have reported to an assigner.
constexpr std::uint32_t assumedInstances = 16;
// Part of the limit that is used: the windows slide, and instances see different loads.
constexpr double usedPart = 0.7;

} // namespace

retry_allowance::retry_allowance(retry_allowance_settings settings)
    : m_settings(settings)
    , m_instances(assumedInstances)
{
}

void retry_allowance::setInstances(std::uint32_t instances)
{
    m_instances = std::max(1U, instances);
}

double retry_allowance::slackShare() const
{
    // Half of the slack may be saved up, the other half comes in over a window, so that no window sees more than the whole.
    return m_settings.slack * usedPart / 2 / m_instances;
}

/** What is not earned by requests may be saved up for bursts of failures. */
double retry_allowance::mostSaved() const
{
    return std::max(1.0, slackShare() + m_requests * m_settings.share * (1 - usedPart));
}

void retry_allowance::refill(monotonic_time now)
{
    if (!m_started) {
        m_started = true;
        m_balance = slackShare();
        m_refilled = now;
        return;
    }
    const double windows = std::chrono::duration<double>(now - m_refilled) / std::chrono::duration<double>(m_settings.window);
    m_refilled = now;
    m_requests *= std::exp(-windows);
    m_balance = std::min(mostSaved(), m_balance + windows * slackShare());
}

void retry_allowance::earn(monotonic_time now)
{
    refill(now);
    m_requests += 1;
    m_balance = std::min(mostSaved(), m_balance + m_settings.share * usedPart);
}

bool retry_allowance::spend(monotonic_time now)
{
    refill(now);
    if (m_balance < 1) {
        return false;
    }
    m_balance -= 1;
    return true;
}

} // namespace sycamoretray
