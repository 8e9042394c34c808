#include "metadata_store/topic_copy.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// Holds the changes of one minute on a large site; readers are at most one second behind.
constexpr std::size_t maxRecords = 4000;
constexpr std::size_t maxBytes = 8UL * 1024 * 1024;

std::size_t sizeOf(const keyed_record &record)
{
    return record.key.size() + (record.value ? record.value->size() : 0);
}

} // namespace

void topic_copy::setListing(const std::vector<keyed_record> &records, log_offset end)
{
    m_newestByKey.clear();
    m_appended.clear();
    m_bytes = 0;
    for (const keyed_record &record : records) {
        m_newestByKey[record.key] = record;
    }
    m_position = end;
    m_firstOffset = end;
    m_complete = true;
}

void topic_copy::appendRecords(const std::vector<keyed_record> &records)
{
    for (const keyed_record &record : records) {
        if (record.value) {
            m_newestByKey[record.key] = record;
        } else {
            m_newestByKey.erase(record.key);
        }
        m_position = std::max(m_position, log_offset(record.offset.value() + 1));
        m_bytes += sizeOf(record);
        m_appended.push_back(record);
    }
    dropOldest();
}

void topic_copy::dropOldest()
{
    while (m_appended.size() > maxRecords || m_bytes > maxBytes) {
        m_bytes -= sizeOf(m_appended.front());
        m_firstOffset = log_offset(m_appended.front().offset.value() + 1);
        m_appended.pop_front();
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
    for (const auto &[key, record] : m_newestByKey) {
        listing.records.push_back(record);
    }
    return listing;
}

keyed_read topic_copy::read(log_offset from) const
{
    keyed_read read;
    read.end = m_position;
    read.next = std::max(from, m_position);
    if (from < m_firstOffset) {
        read.result = store_result::expired;
        return read;
    }
    read.result = store_result::ok;
    for (const keyed_record &record : m_appended) {
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
