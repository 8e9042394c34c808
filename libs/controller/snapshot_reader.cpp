#include "controller/snapshot_reader.h"

#include <xxhash.h>

namespace sycamoretray
{

std::string snapshotHash(const std::string &data)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(data.data(), data.size()));
    return std::string(reinterpret_cast<const char *>(canonical.digest), sizeof canonical.digest);
}

void snapshot_reader::add(const std::vector<log_entry> &entries)
{
    for (const log_entry &entry : entries) {
        pb::SnapshotChunk chunk;
        if (!chunk.ParseFromString(entry.data) || chunk.count() == 0 || chunk.index() >= chunk.count()) {
            continue;
        }
        partial_snapshot &snapshot = m_snapshots[chunk.snapshot_id()];
        snapshot.nextOffset = chunk.next_offset();
        snapshot.count = chunk.count();
        snapshot.hash = chunk.hash();
        snapshot.chunks[chunk.index()] = chunk.data();
    }
}

std::optional<std::string> snapshot_reader::newestData() const
{
    std::optional<std::string> best;
    std::uint64_t bestOffset = 0;
    for (const auto &[id, snapshot] : m_snapshots) {
        if (snapshot.chunks.size() != snapshot.count || snapshot.nextOffset <= bestOffset) {
            continue;
        }
        std::string data;
        for (const auto &[index, chunk] : snapshot.chunks) {
            data += chunk;
        }
        if (snapshotHash(data) == snapshot.hash) {
            best = std::move(data);
            bestOffset = snapshot.nextOffset;
        }
    }
    return best;
}

std::optional<control_state> snapshot_reader::newest() const
{
    const std::optional<std::string> data = newestData();
    return data ? control_state::decode(*data) : std::nullopt;
}

void snapshot_reader::clear()
{
    m_snapshots.clear();
}

} // namespace sycamoretray
