#pragma once

#include "controller/controller_context.h"

#include <deque>
#include <optional>

namespace sycamoretray
{

/**
 * Queue of the records that this instance appends to the control stream.
 *
 * One batch is in flight at a time, so that the sequences of an author arrive in order. A batch with an unknown result is
 * retried with the same ids, but only after a read that started later reached the end of the log without it.
 * Thread safety: none.
 */
class append_queue
{
public:
    explicit append_queue(controller_context &context);

    /** Queues @p record and returns its sequence, which together with the author identifies it in all retries. */
    std::uint64_t add(pb::Record record);

    /** Removes the record from the queue if it is certain that it neither is in the log nor can arrive there. Returns whether it was removed. */
    bool cancel(std::uint64_t sequence);

    /** Sends the next batch if none is in flight. */
    void flush();

    void handleResult(const append_result &result);

    /** A record of this instance was replayed. */
    void ownRecordReplayed(std::uint64_t sequence);

    /** A read that began at @p started reached the end of the log. */
    void logEndReached(monotonic_time started);

    std::size_t size() const noexcept;

    /** True if an append failed or got no answer, and none has succeeded since. */
    bool failing() const noexcept;

private:
    struct queued_record {
        std::uint64_t sequence = 0;
        pb::Record record;
        /** Sent in a batch that did not certainly fail. */
        bool maybeInLog = false;
    };

    void markResultUnknown();
    /** Defect for tests: retries at once under new ids. */
    void assignNewSequences();

    controller_context &m_context;
    std::deque<queued_record> m_queue;
    std::uint64_t m_nextSequence = 1;
    std::optional<operation_id> m_operation;
    std::uint64_t m_lastSequenceOfBatch = 0;
    monotonic_time m_sentAt;
    std::optional<monotonic_time> m_unknownSince;
    monotonic_time m_retryAt;
    time_span m_backoff{};
};

} // namespace sycamoretray
