#pragma once

#include "control_state/control_state.h"
#include "controller/controller_events.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamoretray
{

/** Collects chunks from the snapshot stream and finds the newest complete snapshot with a correct hash. Thread safety: none. */
class snapshot_reader
{
public:
    /** Corrupt entries are skipped. */
    void add(const std::vector<log_entry> &entries);

    /** Returns the state of the complete and correct snapshot with the highest offset, or nothing. */
    std::optional<control_state> newest() const;

    /** As newest(), but returns the encoded state. */
    std::optional<std::string> newestData() const;

    void clear();

private:
    struct partial_snapshot {
        std::uint64_t nextOffset = 0;
        std::uint32_t count = 0;
        std::string hash;
        std::map<std::uint32_t, std::string> chunks;
    };

    std::map<std::string, partial_snapshot> m_snapshots;
};

/** Returns the XXH3-128 hash that snapshot chunks carry, 16 bytes. Thread-safe. */
std::string snapshotHash(const std::string &data);

} // namespace sycamoretray
