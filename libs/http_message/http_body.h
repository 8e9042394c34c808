#pragma once

#include "http_message/resource_budget.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

/**
 * Body of a message, in blocks that are never moved or copied, so that a large body takes its size in memory only once. Copies share
 * the blocks. Each block keeps its memory reserved until the last copy is destroyed.
 *
 * Thread safety: none. Copies that share blocks must be used on one thread if the memory is counted.
 */
class http_body
{
public:
    http_body() = default;
    http_body(std::string text);
    http_body(std::string_view text)
        : http_body(std::string(text))
    {
    }
    http_body(const char *text)
        : http_body(std::string(text))
    {
    }

    std::size_t size() const noexcept
    {
        return m_size;
    }

    bool empty() const noexcept
    {
        return m_size == 0;
    }

    /** Returns the whole body as one string. */
    std::string text() const;

    /** Returns the data in order, without empty pieces. Valid until the body is changed or destroyed. */
    std::vector<std::string_view> pieces() const;

    /** Returns the blocks as bodies of their own, so that each can be released when it is no longer needed. */
    std::vector<http_body> blocks() const;

    /**
     * Makes room for @p bytes that will be appended. Returns false if the budget refuses its memory.
     *
     * @param expected  size of the complete body if it is known, otherwise 0
     */
    bool tryReserve(std::size_t bytes,
                    std::size_t expected,
                    const std::shared_ptr<resource_budget> &budget,
                    reservation_purpose purpose,
                    const resource_holder *asker = nullptr);

    /** Appends @p data. If there is no room, its memory is taken even beyond the limit. Precondition: no copy shares the last block. */
    void append(std::string_view data, const std::shared_ptr<resource_budget> &budget = nullptr);

    /** Counts blocks that are not counted yet. Returns false if the budget has no room for them. */
    bool tryCount(const std::shared_ptr<resource_budget> &budget, reservation_purpose purpose, const resource_holder *asker);

    /** Memory that is reserved for the blocks. */
    std::uint64_t reservedBytes() const noexcept;

    /** Releases the reservations of all blocks, also for copies that share them. */
    void releaseReservations() noexcept;

    void clear() noexcept;

    template<std::convertible_to<std::string_view> Text>
    friend bool operator==(const http_body &left, const Text &right)
    {
        return left.text() == std::string_view(right);
    }

private:
    struct block {
        std::string data;
        budget_reservation reservation;
    };

    std::size_t freeBytes() const noexcept;
    static std::uint64_t memoryOf(std::size_t capacity) noexcept;
    std::size_t nextCapacity(std::size_t bytes, std::size_t expected) const noexcept;

    std::vector<std::shared_ptr<block>> m_blocks;
    std::size_t m_size = 0;
};

} // namespace sycamoretray
