#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sycamoretray::model
{

/**
 * Set of packed states that remembers the predecessor of each, in insertion order. std::unordered_map needs several times the
 * memory for the tens of millions of states that an exploration visits.
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

    /** Adds @p state unless present; returns true if it was added. Precondition: fewer than 2^32 - 1 states. */
    bool insert(std::uint64_t state, std::uint32_t predecessor);

    const entry &at(std::size_t index) const noexcept;
    std::size_t size() const noexcept;

private:
    void grow();
    std::size_t slotFor(std::uint64_t state) const noexcept;

    std::vector<entry> m_entries;
    /** Index into m_entries plus 1; 0 is free. */
    std::vector<std::uint32_t> m_table;
};

} // namespace sycamoretray::model
