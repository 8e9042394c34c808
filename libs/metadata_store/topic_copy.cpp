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

void topic_copy::setListing(const std::vector<keyed_record> &records, const topic_position &end)
{
    m_newestByKey.clear();
    m_appended.clear();
    m_bytes = 0;
    for (const keyed_record &record : records) {
        m_newestByKey[record.key] = record;
    }
    m_position = end;
    m_firstOffset = end.offset;
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
        m_position.offset = std::max(m_position.offset, log_offset(record.offset.value() + 1));
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
    listing.end = m_position.offset;
    listing.era = m_position.era;
    for (const auto &[key, record] : m_newestByKey) {
        listing.records.push_back(record);
    }
    return listing;
}

keyed_read topic_copy::read(const topic_position &from) const
{
    keyed_read read;
    read.era = m_position.era;
    read.end = m_position.offset;
    read.next = std::max(from.offset, m_position.offset);
    if (from.era > m_position.era) {
        read.result = store_result::unavailable;
        return read;
    }
    if (from.era < m_position.era || from.offset < m_firstOffset) {
        read.result = store_result::expired;
        return read;
    }
    read.result = store_result::ok;
    for (const keyed_record &record : m_appended) {
        if (record.offset >= from.offset) {
            read.records.push_back(record);
        }
    }
    return read;
}

const topic_position &topic_copy::position() const noexcept
{
    return m_position;
}

} // namespace sycamoretray
