#pragma once

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace sycamoretray
{

/**
 * Something that reserves bytes in a budget and can give them up, such as a connection whose caller sends or reads nothing.
 *
 * Thread safety: as for buffer_budget.
 */
class budget_holder
{
public:
    budget_holder() = default;
    budget_holder(const budget_holder &) = delete;
    budget_holder &operator=(const budget_holder &) = delete;

    /** Returns the reserved bytes that reclaim() would release now; 0 if they are in use. */
    virtual std::uint64_t reclaimableBytes() const noexcept = 0;

    /** Releases these bytes before it returns. Must not reserve bytes or call other holders. */
    virtual void reclaim() = 0;

protected:
    ~budget_holder() = default;
};

/** What a reservation is for. Answers belong to requests that may have run, so that they can't be refused any more. */
enum class reservation_purpose {
    request,
    answer,
};

/** Events of a budget since it was created. */
struct budget_events {
    /** Holders whose bytes were reclaimed. */
    std::uint64_t reclaimed = 0;
    /** Reservations that failed. */
    std::uint64_t failedRequests = 0;
    std::uint64_t failedAnswers = 0;
};

/**
 * Limit on the memory that the messages of all connections may use together. Limits for a single message do not protect a small
 * instance from many peers that each send a large message, or do not read one, at the same time.
 *
 * Thread safety: none.
 */
class buffer_budget
{
public:
    /** @param limit  for requests; answers may use a fourth more, so that requests that ran can be answered while others are refused */
    explicit buffer_budget(std::uint64_t limit) noexcept
        : m_limit(limit)
    {
    }

    /** Reserves @p bytes, after reclaiming those of other holders if necessary. Returns false and reserves nothing if that is not enough. */
    bool tryReserve(std::uint64_t bytes, reservation_purpose purpose = reservation_purpose::request);

    /** Releases reserved bytes. */
    void release(std::uint64_t bytes) noexcept
    {
        m_used -= bytes;
    }

    std::uint64_t used() const noexcept
    {
        return m_used;
    }

    /** True while more than half of the limit is used. Connections that wait for their answers then read no further requests. */
    bool isScarce() const noexcept
    {
        return m_used > m_limit / 2;
    }

    /** Adds a holder whose bytes may be reclaimed. Precondition: it is removed before it is destroyed. */
    void add(budget_holder &holder);
    void remove(budget_holder &holder) noexcept;

    const budget_events &events() const noexcept
    {
        return m_events;
    }

private:
    bool fits(std::uint64_t bytes, reservation_purpose purpose) const noexcept;
    /** Reclaims the bytes of the holder with the most. Returns false if there is none. */
    bool reclaimLargest();

    std::uint64_t m_limit;
    std::uint64_t m_used = 0;
    std::vector<budget_holder *> m_holders;
    budget_events m_events;
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
    bool tryReserve(std::uint64_t bytes, reservation_purpose purpose = reservation_purpose::request)
    {
        if (m_budget && !m_budget->tryReserve(bytes, purpose)) {
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
