#include "controller/append_queue.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

constexpr std::size_t maxRecordsPerBatch = 200;
constexpr time_span initialBackoff = std::chrono::milliseconds(20);
constexpr time_span maxBackoff = std::chrono::milliseconds(200);

} // namespace

append_queue::append_queue(controller_context &context)
    : m_context(context)
{
}

std::uint64_t append_queue::add(pb::Record record)
{
    const std::uint64_t sequence = m_nextSequence++;
    record.set_author(m_context.self().value());
    record.set_sequence(sequence);
    m_queue.push_back(queued_record{ sequence, std::move(record), false });
    return sequence;
}

bool append_queue::cancel(std::uint64_t sequence)
{
    const auto found = std::find_if(m_queue.begin(), m_queue.end(), [sequence](const queued_record &r) {
        return r.sequence == sequence;
    });
    if (found == m_queue.end() || found->maybeInLog) {
        return false;
    }
    m_queue.erase(found);
    return true;
}

void append_queue::flush()
{
    if (m_operation && m_context.now - m_sentAt > m_context.settings.timing.appendTimeout) {
        markResultUnknown();
    }
    if (m_operation || m_unknownSince || m_queue.empty() || m_context.now < m_retryAt) {
        return;
    }
    append_records action{ m_context.newOperation(), log_stream::control, {} };
    for (queued_record &queued : m_queue) {
        if (action.records.size() == maxRecordsPerBatch) {
            break;
        }
        action.records.push_back(queued.record.SerializeAsString());
        queued.maybeInLog = true;
        m_lastSequenceOfBatch = queued.sequence;
    }
    m_operation = action.operation;
    m_sentAt = m_context.now;
    m_context.add(std::move(action));
}

void append_queue::markResultUnknown()
{
    m_operation.reset();
    m_unknownSince = m_context.now;
    m_backoff = std::clamp(m_backoff * 2, initialBackoff, maxBackoff);
    if (m_context.settings.faults.blindAppendRetry) {
        assignNewSequences();
    }
}

void append_queue::assignNewSequences()
{
    m_unknownSince.reset();
    for (queued_record &queued : m_queue) {
        queued.sequence = m_nextSequence++;
        queued.record.set_sequence(queued.sequence);
    }
}

void append_queue::handleResult(const append_result &result)
{
    if (m_operation != result.operation) {
        return;
    }
    if (!result.error) {
        m_operation.reset();
        m_backoff = time_span(0);
        std::erase_if(m_queue, [this](const queued_record &r) {
            return r.sequence <= m_lastSequenceOfBatch;
        });
        return;
    }
    if (result.error != make_error_code(result_code::append_failed)) {
        markResultUnknown();
        return;
    }
    m_operation.reset();
    m_backoff = std::clamp(m_backoff * 2, initialBackoff, maxBackoff);
    m_retryAt = m_context.now + m_backoff;
    for (queued_record &queued : m_queue) {
        queued.maybeInLog = false;
    }
}

void append_queue::ownRecordReplayed(std::uint64_t sequence)
{
    std::erase_if(m_queue, [sequence](const queued_record &r) {
        return r.sequence <= sequence;
    });
    // The records of a batch are consecutive in the log, so the last one shows that the whole batch was appended.
    if (m_unknownSince && sequence >= m_lastSequenceOfBatch) {
        m_unknownSince.reset();
        m_backoff = time_span(0);
    }
}

void append_queue::logEndReached(monotonic_time started)
{
    if (m_unknownSince && started > *m_unknownSince) {
        m_unknownSince.reset();
        m_retryAt = m_context.now;
    }
}

std::size_t append_queue::size() const noexcept
{
    return m_queue.size();
}

bool append_queue::failing() const noexcept
{
    return m_backoff > time_span(0);
}

} // namespace sycamoretray
