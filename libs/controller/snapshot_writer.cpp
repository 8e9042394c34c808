#include "controller/snapshot_writer.h"

#include "controller/snapshot_reader.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/** Leaves space for the other fields of a chunk within the 64 KB that the log accepts. */
constexpr std::size_t chunkBytes = 60UL * 1024;
constexpr time_span retryDelay = std::chrono::seconds(5);

} // namespace

snapshot_writer::snapshot_writer(controller_context &context)
    : m_context(context)
{
}

void snapshot_writer::snapshotLoaded()
{
    m_lastPosition = m_context.state.position();
    m_lastTime = m_context.now;
}

bool snapshot_writer::due(log_offset earliest) const
{
    const ownership_timing &timing = m_context.settings.timing;
    const bool many = m_context.state.position().value() - m_lastPosition.value() >= timing.snapshotRecords;
    const bool late = m_context.now - *m_lastTime >= timing.snapshotInterval;
    // The log has deleted records after the newest known snapshot, so an instance can only start from a new one.
    const bool dropped = earliest > std::max(m_lastPosition, log_offset(1));
    return m_context.state.position().value() > 1 && (many || late || dropped);
}

void snapshot_writer::tick(bool isWriter, log_offset earliest)
{
    if (!m_context.caughtUp) {
        return;
    }
    if (!m_lastTime) {
        m_lastTime = m_context.now;
    }
    if (m_operation && m_context.now - m_started > retryDelay) {
        m_operation.reset();
    }
    if (isWriter && !m_operation && m_context.now >= m_notBefore && due(earliest)) {
        write();
    }
}

void snapshot_writer::write()
{
    const std::string data = m_context.state.encode();
    const std::string hash = snapshotHash(data);
    const std::size_t count = (data.size() + chunkBytes - 1) / chunkBytes;
    append_records action{ m_context.newOperation(), log_stream::snapshots, {} };
    ++m_number;
    for (std::size_t index = 0; index < count; ++index) {
        pb::SnapshotChunk chunk;
        chunk.set_snapshot_id(m_context.self().value() + "/" + std::to_string(m_number));
        chunk.set_next_offset(m_context.state.position().value());
        chunk.set_index(static_cast<std::uint32_t>(index));
        chunk.set_count(static_cast<std::uint32_t>(count));
        chunk.set_data(data.substr(index * chunkBytes, chunkBytes));
        chunk.set_hash(hash);
        action.records.push_back(chunk.SerializeAsString());
    }
    m_operation = action.operation;
    m_started = m_context.now;
    m_writingPosition = m_context.state.position();
    m_context.add(std::move(action));
}

bool snapshot_writer::handleResult(const append_result &result)
{
    if (!m_operation || *m_operation != result.operation) {
        return false;
    }
    m_operation.reset();
    if (result.error) {
        m_notBefore = m_context.now + retryDelay;
        return true;
    }
    m_lastPosition = m_writingPosition;
    m_lastTime = m_context.now;
    m_context.event("snapshot_written", { { "next_offset", std::to_string(m_writingPosition.value()) } });
    return true;
}

} // namespace sycamoretray
