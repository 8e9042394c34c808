#pragma once

#include <cstdint>
#include <memory>
#include <utility>

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

/**
 * What one connection has taken of a budget. It is given back with the object at the latest.
 *
 * Thread safety: none.
 */
class budget_share
{
public:
    /** @param budget  nothing is limited without one */
    explicit budget_share(std::shared_ptr<buffer_budget> budget) noexcept
        : m_budget(std::move(budget))
    {
    }

    ~budget_share()
    {
        release();
    }
    budget_share(const budget_share &) = delete;
    budget_share &operator=(const budget_share &) = delete;

    /** Takes @p bytes; false if the budget is exceeded. */
    bool take(std::uint64_t bytes) noexcept
    {
        if (m_budget && !m_budget->take(bytes)) {
            return false;
        }
        m_held += bytes;
        return true;
    }

    /** Gives everything back. */
    void release() noexcept
    {
        if (m_budget) {
            m_budget->giveBack(m_held);
        }
        m_held = 0;
    }

private:
    std::shared_ptr<buffer_budget> m_budget;
    std::uint64_t m_held = 0;
};

} // namespace sycamoretray
