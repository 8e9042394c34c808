#include "packed_state_set.h"

#include <xxhash.h>

namespace sycamoretray::model
{

packed_state_set::packed_state_set()
    : m_table(1U << 16U, 0)
{
}

bool packed_state_set::insert(std::uint64_t state, std::uint32_t predecessor)
{
    const std::size_t slot = slotFor(state);
    if (m_table[slot] != 0) {
        return false;
    }
    m_entries.push_back({ state, predecessor });
    m_table[slot] = static_cast<std::uint32_t>(m_entries.size());
    if (m_entries.size() * 2 > m_table.size()) {
        grow();
    }
    return true;
}

const packed_state_set::entry &packed_state_set::at(std::size_t index) const noexcept
{
    return m_entries[index];
}

std::size_t packed_state_set::size() const noexcept
{
    return m_entries.size();
}

void packed_state_set::grow()
{
    m_table.assign(m_table.size() * 2, 0);
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        m_table[slotFor(m_entries[i].state)] = static_cast<std::uint32_t>(i + 1);
    }
}

std::size_t packed_state_set::slotFor(std::uint64_t state) const noexcept
{
    const std::size_t mask = m_table.size() - 1;
    std::size_t slot = XXH3_64bits(&state, sizeof state) & mask;
    while (m_table[slot] != 0 && m_entries[m_table[slot] - 1].state != state) {
        slot = (slot + 1) & mask;
    }
    return slot;
}

} // namespace sycamoretray::model
