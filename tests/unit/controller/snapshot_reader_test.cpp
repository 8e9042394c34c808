#include "controller/snapshot_reader.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

namespace
{

std::vector<log_entry> chunksOf(const std::string &id, std::uint64_t nextOffset, const std::string &data)
{
    std::vector<log_entry> result;
    const std::size_t half = data.size() / 2;
    for (std::uint32_t index = 0; index < 2; ++index) {
        pb::SnapshotChunk chunk;
        chunk.set_snapshot_id(id);
        chunk.set_next_offset(nextOffset);
        chunk.set_index(index);
        chunk.set_count(2);
        chunk.set_data(index == 0 ? data.substr(0, half) : data.substr(half));
        chunk.set_hash(snapshotHash(data));
        result.push_back(log_entry{ log_offset(nextOffset + index), chunk.SerializeAsString() });
    }
    return result;
}

} // namespace

// Guards against a start from a snapshot that is truncated, corrupt, or older than another complete one.
Test(snapshot_reader, returns_newest_complete_snapshot_with_correct_hash)
{
    snapshot_reader reader;
    reader.add(chunksOf("a#1/1", 10, "the first state"));
    reader.add(chunksOf("b#1/1", 20, "the second state"));
    std::vector<log_entry> cut = chunksOf("a#1/2", 30, "the third state");
    cut.pop_back();
    reader.add(cut);
    std::vector<log_entry> damaged = chunksOf("a#1/3", 40, "the fourth state");
    damaged.back().data[damaged.back().data.size() / 2 - 8] ^= 1;
    reader.add(damaged);
    reader.add({ log_entry{ log_offset(50), "not a chunk" } });
    cr_assert(reader.newestData().has_value());
    cr_expect(*reader.newestData() == "the second state");
}
