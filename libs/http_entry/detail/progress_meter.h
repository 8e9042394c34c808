#pragma once

#include "base/monotonic_time.h"

#include <cstdint>

namespace sycamoretray::detail
{

/**
 * Bytes a second that a caller has sent or read lately. Earlier bytes count half as much with each second.
 *
 * Thread safety: none.
 */
class progress_meter
{
public:
    explicit progress_meter(monotonic_time now) noexcept
        : m_updated(now)
    {
    }

    void add(std::uint64_t bytes, monotonic_time now) noexcept;

    double bytesPerSecond(monotonic_time now) const noexcept;

    /** Time of the last byte, or of the construction. */
    monotonic_time lastProgress() const noexcept
    {
        return m_updated;
    }

private:
    double m_bytes = 0;
    monotonic_time m_updated;
};

} // namespace sycamoretray::detail
