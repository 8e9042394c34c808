#pragma once

#include "controller/controller_actions.h"
#include "event_scheduler.h"
#include "seeded_random.h"

#include <array>
#include <functional>
#include <vector>

namespace sycamoretray::harness
{

/** Faults of the log service that are currently active. */
struct log_faults {
    bool outage = false;
    time_span extraLatency{};
    /** Probability that an append takes effect and its reply is lost. */
    double lostReply = 0;
    /** Probability that an append takes effect after its client has timed out. */
    double lateEffect = 0;
    /** Records older than this expire; zero keeps all. */
    time_span retention{};
};

/**
 * Simulated log service and its client: append-only streams, long-polling reads, outage, extra latency, lost replies, appends
 * that take effect after the client timed out, and expiry of records.
 *
 * Thread safety: none.
 */
class fake_log
{
public:
    using append_callback = std::function<void(std::error_code error, log_offset first)>;
    using read_callback = std::function<void(log_read_result result)>;
    using reachable_test = std::function<bool()>;

    fake_log(event_scheduler &scheduler, seeded_random &random);

    /**
     * @p reachable is evaluated when the request is sent and when the reply is. Without a reply within @p timeout the callback
     * gets append_unknown.
     */
    void append(const append_records &request, time_span timeout, const reachable_test &reachable, append_callback callback);
    void read(const read_log &request, const reachable_test &reachable, read_callback callback);

    log_faults &faults();

    /** Expires the records that are older than the retention. */
    void expire();

    log_offset end(log_stream stream) const;
    std::uint64_t appendCount() const;

private:
    struct stored_stream {
        std::vector<std::string> records;
        std::vector<monotonic_time> times;
        std::size_t expired = 0;
    };

    time_span latency();
    log_offset store(const append_records &request);
    void answerRead(const read_log &request, monotonic_time deadline, const reachable_test &reachable, const read_callback &callback);
    log_read_result contents(const read_log &request) const;
    const stored_stream &streamOf(log_stream stream) const;

    event_scheduler &m_scheduler;
    seeded_random &m_random;
    log_faults m_faults;
    std::array<stored_stream, 2> m_streams;
    std::uint64_t m_appends = 0;
};

} // namespace sycamoretray::harness
