#pragma once

#include "controller/controller_context.h"
#include "controller/snapshot_reader.h"

#include <deque>
#include <functional>
#include <optional>

namespace sycamoretray
{

/**
 * Loads the newest snapshot, then reads the control stream from its position on and replays it.
 *
 * Records that peers send are applied too if they are next in order. Thread safety: none.
 */
class log_follower
{
public:
    struct callbacks {
        /** Called after each replayed record. */
        std::function<void(log_offset, const std::string &, const apply_outcome &)> applied;
        /** Called when a read that began at the given time reached the end of the log. */
        std::function<void(monotonic_time)> logEndReached;
        /** Called after a snapshot has replaced the state. */
        std::function<void()> stateReplaced;
    };

    log_follower(controller_context &context, callbacks handlers);

    /** Starts the next read if none is in flight. */
    void poll();

    /** Returns false if the result is not that of the read in flight. */
    bool handleResult(const log_read_result &result);

    /** Applies the records that continue the replayed position; others are ignored. */
    void applyRelayed(const std::vector<log_entry> &entries);

    /** Returns the replayed records from @p from on that are still in memory, about 256 KB at most. Empty if @p from is no longer in memory. */
    std::vector<log_entry> recentFrom(log_offset from) const;

    /** True if the newest read succeeded. */
    bool reachable() const noexcept;

    /** Earliest offset that the log had at the newest read. */
    log_offset earliest() const noexcept;

private:
    enum class phase {
        find_snapshots,
        read_snapshots,
        follow,
    };

    void read(log_stream stream, log_offset from, time_span wait, std::uint32_t maxRecords);
    void retryLater();
    void handleSnapshotBounds(const log_read_result &result);
    void handleSnapshots(const log_read_result &result);
    void handleControl(const log_read_result &result);
    void finishSnapshots();
    void loadSnapshot(control_state loaded);
    /** Defect for tests: sets the position to @p end without the records before it. */
    void skipToEnd(log_offset end);
    bool applyEntry(const log_entry &entry);

    controller_context &m_context;
    callbacks m_callbacks;
    snapshot_reader m_snapshots;
    phase m_phase = phase::find_snapshots;
    std::optional<operation_id> m_operation;
    monotonic_time m_readDeadline;
    monotonic_time m_nextRead;
    log_offset m_snapshotEnd;
    log_offset m_snapshotEarliest;
    log_offset m_snapshotFrom;
    log_offset m_snapshotNext;
    log_offset m_snapshotStop;
    std::uint64_t m_snapshotWindow = 0;
    log_offset m_earliest;
    bool m_reachable = false;
    bool m_atEnd = false;
    bool m_loadedSnapshot = false;
    std::deque<log_entry> m_recent;
};

} // namespace sycamoretray
