#pragma once

#include "controller/controller_context.h"

#include <optional>

namespace sycamoretray
{

/** Writes snapshots of the replayed state. Thread safety: none. */
class snapshot_writer
{
public:
    explicit snapshot_writer(controller_context &context);

    /** Starts a snapshot if @p isWriter is true and one is due. @p earliest is the earliest offset that the log has. */
    void tick(bool isWriter, log_offset earliest);

    /** A snapshot has replaced the state; the next one is due relative to it. */
    void snapshotLoaded();

    /** Returns false if the result is not that of the append in flight. */
    bool handleResult(const append_result &result);

private:
    bool due(log_offset earliest) const;
    void write();

    controller_context &m_context;
    std::optional<operation_id> m_operation;
    std::optional<monotonic_time> m_lastTime;
    log_offset m_lastPosition;
    log_offset m_writingPosition;
    monotonic_time m_started;
    monotonic_time m_notBefore;
    std::uint64_t m_number = 0;
};

} // namespace sycamoretray
