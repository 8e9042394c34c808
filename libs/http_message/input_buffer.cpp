#include "http_message/input_buffer.h"

namespace sycamoretray
{

input_buffer::input_buffer()
    : m_data(std::make_unique_for_overwrite<char[]>(m_size))
{
}

void input_buffer::adapt(std::size_t received, bool receiving)
{
    std::size_t size = receiving ? m_size : smallBytes;
    if (receiving && received == m_size) {
        size = largeBytes;
    }
    if (size != m_size) {
        m_data = std::make_unique_for_overwrite<char[]>(size);
        m_size = size;
    }
}

} // namespace sycamoretray
