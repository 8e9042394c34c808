#pragma once

#include <algorithm>

namespace sycamoretray
{

/**
 * Limits retries to a fraction of the requests: each request adds that fraction to the budget, each retry takes 1.
 *
 * Thread safety: none.
 */
class retry_budget
{
public:
    /** @param share  retries per request, 0 or more */
    explicit retry_budget(double share) noexcept
        : m_share(share)
    {
    }

    /** Adds to the budget for a request from a caller. */
    void earn() noexcept
    {
        m_balance = std::min(maxBalance, m_balance + m_share);
    }

    /** Takes one retry from the budget; false if there is none left. */
    bool spend() noexcept
    {
        if (m_balance < 1) {
            return false;
        }
        m_balance -= 1;
        return true;
    }

private:
    /** Limits a burst of retries after a period without failures to a few crashes of a server with three worker slots. */
    static constexpr double maxBalance = 10;

    double m_share;
    /** 0 at the start, so that attempts never exceed (1 + share) times the requests. */
    double m_balance = 0;
};

} // namespace sycamoretray
