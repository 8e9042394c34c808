#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamoretray
{

/** Order in which connections give way when memory or connections run out. */
enum class claim {
    /** The caller sends or reads too little for what its connection holds. */
    stalled,
    /** No request is being received or answered. */
    idle,
    /** The connection belongs to an ordinary caller, whose request is being received, handled or answered. */
    in_use,
};

/** What a connection holds, and how its caller gets on. */
struct holder_state {
    claim strength = claim::in_use;
    std::uint64_t bytes = 0;
    /** Share of these bytes that the caller sends or reads in a second. */
    double progress = 0;
    /** Time in this state, in microseconds. */
    std::int64_t since = 0;
};

/** Something that holds a connection and memory for a caller and can give both up. Thread safety: as for resource_budget. */
class resource_holder
{
public:
    resource_holder() = default;
    resource_holder(const resource_holder &) = delete;
    resource_holder &operator=(const resource_holder &) = delete;

    virtual holder_state state() const noexcept = 0;

    /** Name of the listener that accepted the connection. */
    virtual std::string_view listener() const noexcept = 0;

    virtual const std::string &callerAddress() const noexcept = 0;

    /** Releases everything it holds before it returns. Must not take anything or call other holders. */
    virtual void giveWay() = 0;

protected:
    ~resource_holder() = default;
};

/** What memory is taken for. */
enum class reservation_purpose {
    /** A request, which can still be refused. */
    request,
    /** A request that holds much already, and leaves some memory for others. */
    large_request,
    /** An answer to a request that may have run, or the traffic between instances. */
    answer,
    /** Readiness checks and short answers. Always granted; their number and size are limited elsewhere. */
    essential,
};

struct resource_limits {
    /** Limit on the memory for requests. */
    std::uint64_t requestBytes = 0;
    /** Part of it that large requests leave for others, so that these are served while many large ones come. */
    std::uint64_t smallRequestBytes = 0;
    /** Limit on the memory for requests and answers together, so that requests that ran can be answered while others are refused. */
    std::uint64_t totalBytes = 0;
    /** Limit on the connections of all listeners together. */
    std::uint32_t connections = 0;
};

enum class resource_event {
    /** A connection was closed so that others get its memory. */
    closed_for_memory,
    /** A connection was closed so that another one can be accepted. */
    closed_for_connection,
    /** A new connection was closed at once. */
    connection_refused,
    /** There was no memory for a request, which is refused or read later. */
    request_without_memory,
    /** There was no memory for an answer. */
    answer_without_memory,
    /** A request was refused that is malformed or beyond the limits for callers. */
    request_beyond_limits,
    /** A connection was closed, or will be after the earlier answers, because a transfer took too long. */
    closed_for_time,
};

/** Thread-safe. */
std::string_view toString(resource_event event) noexcept;

/** An event, with what decided it. */
struct resource_decision {
    resource_event event = resource_event::closed_for_memory;
    std::string_view listener;
    std::string caller;
    holder_state holder;
    std::uint64_t usedBytes = 0;
    std::uint32_t connections = 0;
};

/**
 * Counts the memory and the connections that are held for callers, by capacity, and decides who gives way when one of them runs out:
 * first connections whose callers make the least progress for what they hold, then idle ones. Connections in use are not closed; instead,
 * what is new is refused. Nothing is closed if that would not make enough room.
 *
 * Thread safety: none.
 */
class resource_budget
{
public:
    explicit resource_budget(resource_limits limits);

    /** @param observer  called with each decision; must not use the budget */
    void setObserver(std::function<void(const resource_decision &decision)> observer);

    /**
     * Takes @p bytes, after closing other connections if necessary. Returns false and takes nothing if that is not enough.
     *
     * @param asker  the connection that needs the memory, which is not closed; may be null
     */
    bool tryTake(std::uint64_t bytes, reservation_purpose purpose, const resource_holder *asker = nullptr);

    /** Takes @p bytes even beyond the limit, for data that exists already. */
    void take(std::uint64_t bytes) noexcept
    {
        m_used += bytes;
        m_highest = std::max(m_highest, m_used);
    }

    void release(std::uint64_t bytes) noexcept
    {
        m_used -= bytes;
    }

    /** Returns whether @p bytes could be taken now, without closing anything. Counts and reports a lack of memory. */
    bool couldTake(std::uint64_t bytes, reservation_purpose purpose, const resource_holder *asker);

    /**
     * Makes room for a new connection, after closing another one if necessary. Returns false if it must be refused.
     *
     * @param listener  name of the listener
     * @param mayOpen  connections that the listener may still open
     * @param bytes  memory that the connection takes
     * @param purpose  if essential, the limit on all connections does not apply
     */
    bool admitConnection(std::string_view listener, std::uint32_t mayOpen, std::uint64_t bytes, reservation_purpose purpose);

    /** Adds a connection. Precondition: it is removed before it is destroyed. */
    void add(resource_holder &holder);
    void remove(resource_holder &holder) noexcept;

    std::uint64_t used() const noexcept
    {
        return m_used;
    }

    /** Returns the most memory that was used at any time since the last call. */
    std::uint64_t takeHighest() noexcept
    {
        return std::exchange(m_highest, m_used);
    }

    std::uint32_t connections() const noexcept
    {
        return static_cast<std::uint32_t>(m_holders.size());
    }

    /** True while more than half of the limit for requests is used. Connections that wait for their answers then read no further requests. */
    bool isScarce() const noexcept
    {
        return m_used > m_limits.requestBytes / 2;
    }

    /** Reports a decision that is not made here. */
    void record(resource_event event, const resource_holder &holder);

    /** Number of events of this kind since the budget was created. */
    std::uint64_t count(resource_event event) const noexcept;

private:
    std::uint64_t limitFor(reservation_purpose purpose) const noexcept;
    bool fits(std::uint64_t bytes, reservation_purpose purpose) const noexcept;
    /** Memory of connections that can be closed. */
    std::uint64_t yieldableBytes(const resource_holder *asker) const noexcept;
    /** Closes the connection that gives way first. Returns false if there is none. @param listener  if not empty, only its connections */
    bool closeFirst(resource_event event, const resource_holder *asker, std::string_view listener);
    void report(resource_event event, std::string_view listener, std::string caller, const holder_state &holder);

    resource_limits m_limits;
    std::uint64_t m_used = 0;
    std::uint64_t m_highest = 0;
    std::vector<resource_holder *> m_holders;
    std::vector<std::uint64_t> m_counts;
    std::function<void(const resource_decision &)> m_observer;
};

/**
 * Memory that is taken from a budget, for example for a buffer. The destructor releases it.
 *
 * Thread safety: none.
 */
class budget_reservation
{
public:
    /** @param budget  if null, nothing is counted */
    explicit budget_reservation(std::shared_ptr<resource_budget> budget = nullptr) noexcept
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

    /** Changes the reservation to @p bytes. Returns false and changes nothing if the budget has no room. */
    bool tryResize(std::uint64_t bytes, reservation_purpose purpose, const resource_holder *asker = nullptr)
    {
        if (m_budget && bytes > m_reserved && !m_budget->tryTake(bytes - m_reserved, purpose, asker)) {
            return false;
        }
        if (m_budget && bytes < m_reserved) {
            m_budget->release(m_reserved - bytes);
        }
        m_reserved = bytes;
        return true;
    }

    /** Changes the reservation to @p bytes, even beyond the limit. */
    void resize(std::uint64_t bytes) noexcept
    {
        if (m_budget) {
            m_budget->release(m_reserved);
            m_budget->take(bytes);
        }
        m_reserved = bytes;
    }

    std::uint64_t reserved() const noexcept
    {
        return m_reserved;
    }

    void release() noexcept
    {
        resize(0);
    }

private:
    std::shared_ptr<resource_budget> m_budget;
    std::uint64_t m_reserved = 0;
};

} // namespace sycamoretray
