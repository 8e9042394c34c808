#pragma once

#include "metadata_store/metadata_store.h"

#include <deque>
#include <map>
#include <string>

namespace sycamoretray
{

/**
 * What an instance knows of a keyed topic, for instances that read it from there instead of the store.
 *
 * Thread safety: none.
 */
class topic_copy
{
public:
    /** Takes the newest record of each key, complete up to @p end. */
    void listed(const std::vector<keyed_record> &records, log_offset end);

    /** Takes records in order. */
    void appended(const std::vector<keyed_record> &records);

    /** True once the topic was listed. */
    bool isComplete() const noexcept;

    /** Returns the newest record of each key. Precondition: isComplete(). */
    keyed_listing list() const;

    /** Returns the records from @p from on; expired if some of them are not kept any more. Precondition: isComplete(). */
    keyed_read read(log_offset from) const;

    /** Offset after the last known record. */
    log_offset position() const noexcept;

private:
    void trim();

    bool m_complete = false;
    log_offset m_position;
    std::map<std::string, keyed_record> m_newest;
    /** Records from m_first on. */
    std::deque<keyed_record> m_records;
    log_offset m_first;
    std::size_t m_bytes = 0;
};

} // namespace sycamoretray
