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

    /** Returns the offset of the first record; offsets start at 1. */
    std::uint64_t append(std::vector<std::string> records, long long now);

    /** Drops records that were appended before @p oldest (steady microseconds), and all but the newest @p count; 0 keeps all. */
    void expire(long long oldest, std::uint64_t count);

    /** Records from offset @p from, at most @p maximum. Precondition: @p from is at least earliest(). */
    std::vector<record> read(std::uint64_t from, std::size_t maximum) const;

    std::uint64_t earliest() const;
    std::uint64_t next() const;

private:
    std::deque<record> m_records;
    std::uint64_t m_next = 1;
};

} // namespace sycamoretray::standins
