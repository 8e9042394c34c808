#pragma once

#include <cstddef>
#include <memory>

namespace sycamoretray
{

/**
 * Buffer into which a connection reads. Small while little arrives, because most connections are idle most of the time.
 *
 * Thread safety: none.
 */
class input_buffer
{
public:
    static constexpr std::size_t smallBytes = 2048;
    static constexpr std::size_t largeBytes = 16384;

    input_buffer();

    char *data() noexcept
    {
        return m_data.get();
    }

    std::size_t size() const noexcept
    {
        return m_size;
    }

    /**
     * Chooses the size for the next read; the contents are lost if it changes. Precondition: no read is pending.
     *
     * @param received  bytes that the last read got
     * @param receiving  the rest of a message is expected
     */
    void adapt(std::size_t received, bool receiving);

private:
    std::size_t m_size = smallBytes;
    std::unique_ptr<char[]> m_data;
};

} // namespace sycamoretray
