#include "standins/log_service/log_stream.h"

#include <algorithm>
#include <utility>

namespace sycamoretray::standins
{

std::uint64_t log_stream::append(std::vector<std::string> records, long long now)
{
    const std::uint64_t first = m_next;
    for (std::string &data : records) {
        m_records.push_back({ m_next++, now, std::move(data) });
    }
    return first;
}

void log_stream::expire(long long oldest, std::uint64_t count)
{
    while (!m_records.empty() && (m_records.front().appendedAt < oldest || (count != 0 && m_records.size() > count))) {
        m_records.pop_front();
    }
}

std::vector<log_stream::record> log_stream::read(std::uint64_t from, std::size_t maximum) const
{
    std::vector<record> result;
    if (from >= m_next) {
        return result;
    }
    const std::size_t begin = from - earliest();
    const std::size_t end = std::min(m_records.size(), begin + maximum);
    result.assign(m_records.begin() + static_cast<std::ptrdiff_t>(begin), m_records.begin() + static_cast<std::ptrdiff_t>(end));
    return result;
}

std::uint64_t log_stream::earliest() const
{
    return m_records.empty() ? m_next : m_records.front().offset;
}

std::uint64_t log_stream::next() const
{
    return m_next;
}

} // namespace sycamoretray::standins
