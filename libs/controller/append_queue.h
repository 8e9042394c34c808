#pragma once

#include "controller/controller_context.h"

#include <deque>
#include <optional>

namespace sycamoretray
{

/**
 * Records of this instance on their way into the control stream.
 *
 * One batch is outstanding at a time, so that the sequences of an author arrive in order. A batch with an unknown result is
 * sent again with the same ids, but only after a read that started later showed the end of the log without it.
 * Thread safety: none.
 */
class append_queue
{
public:
    explicit append_queue(controller_context &context);

    /** Queues @p record and returns its sequence, which stays its id through all repeats. */
    std::uint64_t add(pb::Record record);

    /** Drops the record if it certainly is not in the log and cannot arrive there. Returns whether it was dropped. */
    bool cancel(std::uint64_t sequence);

    /** Sends the next batch if none is outstanding. */
    void flush();

    void handleResult(const append_result &result);

    /** A record of this instance was replayed. */
    void ownRecordSeen(std::uint64_t sequence);

    /** A read that began at @p started reached the end of the log. */
    void endSeen(monotonic_time started);

    std::size_t size() const noexcept;

    /** An append failed or got no answer, and none has succeeded since. */
    bool failing() const noexcept;

private:
    struct queued_record {
        std::uint64_t sequence = 0;
        pb::Record record;
        bool maybeInLog = false;
    };

    void becomeUnknown();
    void renumber();

    controller_context &m_context;
    std::deque<queued_record> m_queue;
    std::uint64_t m_nextSequence = 1;
    std::optional<operation_id> m_operation;
    std::uint64_t m_lastOfBatch = 0;
    monotonic_time m_sentAt;
    std::optional<monotonic_time> m_unknownSince;
    monotonic_time m_retryAt;
    time_span m_backoff{};
};

} // namespace sycamoretray
