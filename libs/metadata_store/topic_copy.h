#pragma once

#include "metadata_store/metadata_store.h"

#include <deque>
#include <map>
#include <string>

namespace sycamoretray
{

/**
 * Copy of a keyed topic in the memory of an instance, from which other instances read the topic instead of from the store.
 *
 * Thread safety: none.
 */
class topic_copy
{
public:
    /** Replaces the copy with the newest record of each key, complete up to @p end. */
    void setListing(const std::vector<keyed_record> &records, const topic_position &end);

    /** Adds records that were appended to the topic, in order. */
    void appendRecords(const std::vector<keyed_record> &records);

    /** Returns whether setListing() was called. */
    bool isComplete() const noexcept;

    /** Returns the newest record of each key. Precondition: isComplete(). */
    keyed_listing list() const;

    /**
     * Returns the records from @p from on: expired if some of them are no longer kept, or if the copy is of a later era; unavailable if it is of
     * an earlier era. Precondition: isComplete().
     */
    keyed_read read(const topic_position &from) const;

    /** Position after the last known record. A reader at a lower position can be answered at once. */
    const topic_position &position() const noexcept;

private:
    void dropOldest();

    bool m_complete = false;
    topic_position m_position;
    std::map<std::string, keyed_record> m_newestByKey;
    /** Records from m_firstOffset on. */
    std::deque<keyed_record> m_appended;
    log_offset m_firstOffset;
    std::size_t m_bytes = 0;
};

} // namespace sycamoretray
