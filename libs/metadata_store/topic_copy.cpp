#include "metadata_store/topic_copy.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// Readers are a second behind at most; this holds the changes of a minute on a large site.
constexpr std::size_t mostRecords = 4000;
constexpr std::size_t mostBytes = 8UL * 1024 * 1024;

std::size_t sizeOf(const keyed_record &record)
{
    return record.key.size() + (record.value ? record.value->size() : 0);
}

} // namespace

void topic_copy::listed(const std::vector<keyed_record> &records, log_offset end)
{
    m_newest.clear();
    m_records.clear();
    m_bytes = 0;
    for (const keyed_record &record : records) {
        m_newest[record.key] = record;
    }
    m_position = end;
    m_first = end;
    m_complete = true;
}

void topic_copy::appended(const std::vector<keyed_record> &records)
{
    for (const keyed_record &record : records) {
        if (record.value) {
            m_newest[record.key] = record;
        } else {
            m_newest.erase(record.key);
        }
        m_position = std::max(m_position, log_offset(record.offset.value() + 1));
        m_bytes += sizeOf(record);
        m_records.push_back(record);
    }
    trim();
}

void topic_copy::trim()
{
    while (m_records.size() > mostRecords || m_bytes > mostBytes) {
        m_bytes -= sizeOf(m_records.front());
        m_first = log_offset(m_records.front().offset.value() + 1);
        m_records.pop_front();
    }
}

bool topic_copy::isComplete() const noexcept
{
    return m_complete;
}

keyed_listing topic_copy::list() const
{
    keyed_listing listing;
    listing.result = store_result::ok;
    listing.end = m_position;
    for (const auto &[key, record] : m_newest) {
        listing.records.push_back(record);
    }
    return listing;
}

keyed_read topic_copy::read(log_offset from) const
{
    keyed_read read;
    read.end = m_position;
    read.next = std::max(from, m_position);
    if (from < m_first) {
        read.result = store_result::expired;
        return read;
    }
    read.result = store_result::ok;
    for (const keyed_record &record : m_records) {
        if (record.offset >= from) {
            read.records.push_back(record);
        }
    }
    return read;
}

log_offset topic_copy::position() const noexcept
{
    return m_position;
}

} // namespace sycamoretray
