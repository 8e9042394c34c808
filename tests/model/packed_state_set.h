#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sycamoretray::model
{

/**
 * Set of packed states in insertion order, with the predecessor of each state. For the tens of millions of states that an
 * exploration visits, std::unordered_map needs several times the memory.
 *
 * Thread safety: none.
 */
class packed_state_set
{
public:
    struct entry {
        std::uint64_t state = 0;
        std::uint32_t predecessor = 0;
    };

    packed_state_set();

    /** Adds @p state unless it is present; returns true if it was added. Precondition: fewer than 2^32 - 1 states. */
    bool insert(std::uint64_t state, std::uint32_t predecessor);

    const entry &at(std::size_t index) const noexcept;
    std::size_t size() const noexcept;

private:
    void grow();
    /** Slot of @p state in m_table, or the free slot where it belongs. */
    std::size_t slotFor(std::uint64_t state) const noexcept;

    std::vector<entry> m_entries;
    /** Hash table with linear probing: index into m_entries plus 1; 0 marks a free slot. */
    std::vector<std::uint32_t> m_table;
};

} // namespace sycamoretray::model
