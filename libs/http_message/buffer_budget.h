#pragma once

#include <cstdint>

namespace sycamoretray
{

/**
 * Bytes that messages in progress may keep in memory together. Limits for a single message do not protect a small instance from
 * many peers that send without end at the same time.
 *
 * Thread safety: none.
 */
class buffer_budget
{
public:
    explicit buffer_budget(std::uint64_t limit) noexcept
        : m_limit(limit)
    {
    }

    /** Takes @p bytes; false, and nothing is taken, if that many are not left. */
    bool take(std::uint64_t bytes) noexcept
    {
        if (bytes > m_limit - m_used) {
            return false;
        }
        m_used += bytes;
        return true;
    }

    /** Gives back bytes that were taken. */
    void giveBack(std::uint64_t bytes) noexcept
    {
        m_used -= bytes;
    }

    std::uint64_t used() const noexcept
    {
        return m_used;
    }

private:
    std::uint64_t m_limit;
    std::uint64_t m_used = 0;
};

} // namespace sycamoretray
