#pragma once

#include "base/monotonic_time.h"

#include <cstdint>

namespace sycamoretray
{

/**
 * Decides when freed memory is worth returning to the system: after the memory held for callers has dropped by several megabytes. The
 * allocator keeps small blocks otherwise, so that a crowd would raise the memory of the process for good.
 *
 * Thread safety: none.
 */
class memory_trimmer
{
public:
    /**
     * Returns whether memory should be returned at @p now.
     *
     * @param highest  the most memory that was held at any time since the last call; a crowd may come and leave between two calls
     */
    bool isDue(std::uint64_t highest, monotonic_time now) noexcept;

private:
    /** Most memory held since the last return. */
    std::uint64_t m_highest = 0;
    monotonic_time m_droppedAt{};
    monotonic_time m_followUpAt = monotonic_time::max();
};

} // namespace sycamoretray
