#pragma once

#include "base/monotonic_time.h"

#include <cstdint>

namespace sycamoretray
{

struct retry_allowance_settings {
    /** Repeats per request that the deployment allows. */
    double share = 0.2;
    /** Repeats that the deployment allows beyond the share, all instances together, in one window. */
    double slack = 50;
    time_span window = std::chrono::seconds(10);
};

/**
 * Limits how often one instance sends requests of a service once more, so that all instances together stay within the
 * deployment's limit.
 *
 * Thread safety: none.
 */
class retry_allowance
{
public:
    explicit retry_allowance(retry_allowance_settings settings);

    /** Sets among how many instances the slack is divided. */
    void setInstances(std::uint32_t instances);

    /** Counts a request from a caller. */
    void earn(monotonic_time now);

    /** Takes one repeat; false if there is none left. */
    bool spend(monotonic_time now);

private:
    void refill(monotonic_time now);
    double slackShare() const;
    double mostSaved() const;

    retry_allowance_settings m_settings;
    std::uint32_t m_instances;
    double m_balance = 0;
    /** Requests of about the last window. */
    double m_requests = 0;
    bool m_started = false;
    monotonic_time m_refilled{};
};

} // namespace sycamoretray
