#pragma once

#include "base/monotonic_time.h"

#include <cstdint>

namespace sycamoretray
{

struct service_retry_budget_settings {
    /** Retries per request that the deployment allows. */
    double share = 0.2;
    /** Retries that the deployment allows in one window beyond the share, for all instances together. */
    double slack = 50;
    time_span window = std::chrono::seconds(10);
};

/**
 * Limits the retries of one instance for requests of one service, so that all instances together stay within the deployment's
 * limit.
 *
 * Thread safety: none.
 */
class service_retry_budget
{
public:
    explicit service_retry_budget(service_retry_budget_settings settings);

    /** Sets the number of instances among which the slack is divided. */
    void setInstances(std::uint32_t instances);

    /** Counts a request from a caller. */
    void earn(monotonic_time now);

    /** Takes one retry from the budget; false if there is none left. */
    bool spend(monotonic_time now);

private:
    void refill(monotonic_time now);
    double instanceSlack() const;
    double maxBalance() const;

    service_retry_budget_settings m_settings;
    std::uint32_t m_instances;
    double m_balance = 0;
    /** Number of requests in the last window, with exponential decay. */
    double m_requests = 0;
    bool m_started = false;
    monotonic_time m_refilled{};
};

} // namespace sycamoretray
