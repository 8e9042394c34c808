#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace sycamoretray::standins
{

/** One append-only stream whose oldest records expire. Thread safety: none. */
class log_stream
{
public:
    struct record {
        std::uint64_t offset = 0;
        long long appendedAt = 0; ///< steady microseconds
        std::string data; ///< base64
    };

    /** Appends @p records at time @p now (steady microseconds). Returns the offset of the first; offsets start at 1. */
    std::uint64_t append(std::vector<std::string> records, long long now);

    /**
     * Deletes records that were appended before @p oldest (steady microseconds), and all but the newest @p count. A
     * @p count of 0 means no limit.
     */
    void expire(long long oldest, std::uint64_t count);

    /** Returns at most @p maximum records from offset @p from on. Precondition: @p from is at least earliest(). */
    std::vector<record> read(std::uint64_t from, std::size_t maximum) const;

    std::uint64_t earliest() const;
    std::uint64_t next() const;

private:
    std::deque<record> m_records;
    std::uint64_t m_next = 1;
};

} // namespace sycamoretray::standins
