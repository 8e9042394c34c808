#pragma once

#include <cstdint>
#include <memory>
#include <utility>

namespace sycamoretray
{

/**
 * Limit on the memory that all messages being received may use together. Limits for a single message do not protect a small
 * instance from many peers that each send a large message at the same time.
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

    /** Reserves @p bytes. Returns false and reserves nothing if less than that is available. */
    bool tryReserve(std::uint64_t bytes) noexcept
    {
        if (bytes > m_limit - m_used) {
            return false;
        }
        m_used += bytes;
        return true;
    }

    /** Releases reserved bytes. */
    void release(std::uint64_t bytes) noexcept
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
 * Bytes that are reserved in a budget, for example for one request. The destructor releases them.
 *
 * Thread safety: none.
 */
class budget_reservation
{
public:
    /** @param budget  if null, nothing is limited */
    explicit budget_reservation(std::shared_ptr<buffer_budget> budget) noexcept
        : m_budget(std::move(budget))
    {
    }

    ~budget_reservation()
    {
        release();
    }
    budget_reservation(const budget_reservation &) = delete;
    budget_reservation &operator=(const budget_reservation &) = delete;

    budget_reservation(budget_reservation &&other) noexcept
        : m_budget(other.m_budget)
        , m_reserved(std::exchange(other.m_reserved, 0))
    {
    }

    budget_reservation &operator=(budget_reservation &&other) noexcept
    {
        if (this != &other) {
            release();
            m_budget = other.m_budget;
            m_reserved = std::exchange(other.m_reserved, 0);
        }
        return *this;
    }

    /** Reserves @p bytes. Returns false if the budget would be exceeded. */
    bool tryReserve(std::uint64_t bytes) noexcept
    {
        if (m_budget && !m_budget->tryReserve(bytes)) {
            return false;
        }
        m_reserved += bytes;
        return true;
    }

    /** Moves @p bytes to a reservation of their own. Precondition: bytes <= reserved(). */
    budget_reservation split(std::uint64_t bytes) noexcept
    {
        budget_reservation part(m_budget);
        part.m_reserved = bytes;
        m_reserved -= bytes;
        return part;
    }

    /** Takes over all bytes of @p other. Precondition: both have the same budget. */
    void merge(budget_reservation &&other) noexcept
    {
        m_reserved += std::exchange(other.m_reserved, 0);
    }

    std::uint64_t reserved() const noexcept
    {
        return m_reserved;
    }

    /** Releases all reserved bytes. */
    void release() noexcept
    {
        if (m_budget) {
            m_budget->release(m_reserved);
        }
        m_reserved = 0;
    }

private:
    std::shared_ptr<buffer_budget> m_budget;
    std::uint64_t m_reserved = 0;
};

} // namespace sycamoretray
