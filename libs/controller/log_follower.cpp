#include "controller/log_follower.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/** First number of chunks to read; a snapshot of four services with fragmented tables has about ten chunks of 64 KB. */
constexpr std::uint64_t initialSnapshotWindow = 32;
constexpr std::uint32_t maxRecordsPerRead = 1000;
constexpr std::size_t maxRecentRecords = 2000;
constexpr std::size_t maxRelayBytes = 256UL * 1024;
constexpr time_span retryDelay = std::chrono::milliseconds(50);
constexpr time_span readTimeout = std::chrono::seconds(1);

} // namespace

log_follower::log_follower(controller_context &context, callbacks handlers)
    : m_context(context)
    , m_callbacks(std::move(handlers))
{
}

void log_follower::read(log_stream stream, log_offset from, time_span wait, std::uint32_t maxRecords)
{
    m_operation = m_context.newOperation();
    m_readDeadline = m_context.now + wait + readTimeout;
    m_context.add(read_log{ *m_operation, stream, from, wait, maxRecords });
}

void log_follower::poll()
{
    if (m_operation && m_context.now > m_readDeadline) {
        m_operation.reset();
        m_reachable = false;
    }
    if (m_operation || m_context.now < m_nextRead) {
        return;
    }
    switch (m_phase) {
    case phase::find_snapshots:
        read(log_stream::snapshots, log_offset(1), time_span(0), 1);
        break;
    case phase::read_snapshots:
        read(log_stream::snapshots, m_snapshotNext, time_span(0), maxRecordsPerRead);
        break;
    case phase::follow:
        read(log_stream::control, m_context.state.position(), m_atEnd ? m_context.settings.timing.logReadWait : time_span(0), maxRecordsPerRead);
        break;
    }
}

void log_follower::retryLater()
{
    m_reachable = false;
    m_nextRead = m_context.now + retryDelay;
}

bool log_follower::handleResult(const log_read_result &result)
{
    if (!m_operation || *m_operation != result.operation) {
        return false;
    }
    m_operation.reset();
    switch (m_phase) {
    case phase::find_snapshots:
        handleSnapshotBounds(result);
        break;
    case phase::read_snapshots:
        handleSnapshots(result);
        break;
    case phase::follow:
        handleControl(result);
        break;
    }
    poll();
    return true;
}

void log_follower::handleSnapshotBounds(const log_read_result &result)
{
    if (result.error && result.error != make_error_code(result_code::offset_expired)) {
        retryLater();
        return;
    }
    m_reachable = true;
    m_snapshots.clear();
    m_snapshotEarliest = std::max(result.earliest, log_offset(1));
    m_snapshotEnd = std::max(result.end, m_snapshotEarliest);
    m_snapshotWindow = initialSnapshotWindow;
    m_snapshotStop = m_snapshotEnd;
    const std::uint64_t window = std::min(m_snapshotWindow, m_snapshotEnd.value() - m_snapshotEarliest.value());
    m_snapshotFrom = log_offset(m_snapshotEnd.value() - window);
    m_snapshotNext = m_snapshotFrom;
    if (window == 0) {
        finishSnapshots();
        return;
    }
    m_phase = phase::read_snapshots;
}

void log_follower::handleSnapshots(const log_read_result &result)
{
    if (result.error) {
        m_phase = phase::find_snapshots;
        retryLater();
        return;
    }
    m_snapshots.add(result.entries);
    if (!result.entries.empty()) {
        m_snapshotNext = log_offset(result.entries.back().offset.value() + 1);
    }
    if (!result.entries.empty() && m_snapshotNext < m_snapshotStop) {
        return;
    }
    if (m_snapshots.newestData() || m_snapshotFrom <= m_snapshotEarliest) {
        finishSnapshots();
        return;
    }
    m_snapshotStop = m_snapshotFrom;
    m_snapshotWindow *= 2;
    const std::uint64_t window = std::min(m_snapshotWindow, m_snapshotFrom.value() - m_snapshotEarliest.value());
    m_snapshotFrom = log_offset(m_snapshotFrom.value() - window);
    m_snapshotNext = m_snapshotFrom;
}

void log_follower::finishSnapshots()
{
    m_phase = phase::follow;
    m_atEnd = false;
    std::optional<control_state> loaded = m_snapshots.newest();
    m_snapshots.clear();
    if (loaded && loaded->position() > m_context.state.position()) {
        loadSnapshot(std::move(*loaded));
    }
}

void log_follower::loadSnapshot(control_state loaded)
{
    m_context.state.requireNotNewerThan(loaded);
    m_context.state = std::move(loaded);
    m_loadedSnapshot = true;
    m_recent.clear();
    m_context.event("snapshot_loaded", { { "next_offset", std::to_string(m_context.state.position().value()) } });
    m_callbacks.stateReplaced();
}

void log_follower::skipToEnd(log_offset end)
{
    pb::StateSnapshot snapshot;
    snapshot.ParseFromString(m_context.state.encode());
    snapshot.set_next_offset(end.value());
    m_context.state = *control_state::decode(snapshot.SerializeAsString());
    m_loadedSnapshot = false;
}

void log_follower::handleControl(const log_read_result &result)
{
    const bool expired = result.error == make_error_code(result_code::offset_expired);
    if (expired || (!result.entries.empty() && result.entries.front().offset > m_context.state.position())) {
        m_context.event("log_offset_expired", { { "position", std::to_string(m_context.state.position().value()) } });
        m_phase = phase::find_snapshots;
        m_nextRead = m_context.now + retryDelay;
        return;
    }
    if (result.error) {
        retryLater();
        return;
    }
    m_reachable = true;
    m_earliest = result.earliest;
    if (m_context.settings.faults.snapshotWithoutTail && m_loadedSnapshot && !m_context.caughtUp) {
        skipToEnd(result.end);
    }
    for (const log_entry &entry : result.entries) {
        applyEntry(entry);
    }
    m_atEnd = m_context.state.position() >= result.end;
    if (m_atEnd) {
        m_context.caughtUp = true;
        m_callbacks.logEndReached(result.started);
    }
}

bool log_follower::applyEntry(const log_entry &entry)
{
    if (entry.offset != m_context.state.position()) {
        return false;
    }
    const apply_outcome outcome = m_context.state.apply(entry.data);
    m_recent.push_back(entry);
    if (m_recent.size() > maxRecentRecords) {
        m_recent.pop_front();
    }
    if (outcome.verdict != record_verdict::applied) {
        m_context.event("record_ignored", { { "offset", std::to_string(entry.offset.value()) }, { "reason", outcome.reason } });
    }
    m_callbacks.applied(entry.offset, entry.data, outcome);
    return true;
}

void log_follower::applyRelayed(const std::vector<log_entry> &entries)
{
    // Before the snapshot is read, the state at the position is incomplete.
    if (m_phase != phase::follow) {
        return;
    }
    for (const log_entry &entry : entries) {
        applyEntry(entry);
    }
}

std::vector<log_entry> log_follower::recentFrom(log_offset from) const
{
    std::vector<log_entry> result;
    if (m_recent.empty() || from < m_recent.front().offset) {
        return result;
    }
    std::size_t bytes = 0;
    for (std::size_t i = from.value() - m_recent.front().offset.value(); i < m_recent.size() && bytes < maxRelayBytes; ++i) {
        result.push_back(m_recent[i]);
        bytes += m_recent[i].data.size();
    }
    return result;
}

bool log_follower::reachable() const noexcept
{
    return m_reachable;
}

log_offset log_follower::earliest() const noexcept
{
    return m_earliest;
}

} // namespace sycamoretray
