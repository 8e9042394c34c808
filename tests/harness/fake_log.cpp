#include "fake_log.h"

#include "base/result_code.h"

#include <algorithm>

namespace sycamoretray::harness
{

using namespace std::chrono_literals;

fake_log::fake_log(event_scheduler &scheduler, seeded_random &random)
    : m_scheduler(scheduler)
    , m_random(random)
{
}

log_faults &fake_log::faults()
{
    return m_faults;
}

time_span fake_log::latency()
{
    const time_span extraLatency = m_faults.extraLatency.count() > 0 ? m_random.span(0us, m_faults.extraLatency) : time_span(0);
    return m_random.span(500us, 3ms) + extraLatency;
}

log_offset fake_log::store(const append_records &request)
{
    stored_stream &stream = m_streams.at(static_cast<std::size_t>(request.stream));
    const log_offset first(stream.records.size() + 1);
    for (const std::string &record : request.records) {
        stream.records.push_back(record);
        stream.times.push_back(m_scheduler.now());
    }
    m_appends += 1;
    return first;
}

void fake_log::append(const append_records &request, time_span timeout, const reachable_test &reachable, append_callback callback)
{
    const auto reportUnknown = [this, callback, timeout](time_span sinceStart) {
        m_scheduler.after(timeout - sinceStart, [callback] {
            callback(make_error_code(result_code::append_unknown), log_offset());
        });
    };
    if (!reachable()) {
        reportUnknown(0us);
        return;
    }
    const bool takesEffectLate = m_random.chance(m_faults.lateEffect);
    const time_span requestDelay = takesEffectLate ? timeout + m_random.span(0us, 2s) : latency();
    const time_span replyDelay = m_random.chance(m_faults.lostReply) ? timeout : latency();
    if (requestDelay + replyDelay >= timeout) {
        reportUnknown(0us);
    }
    m_scheduler.after(requestDelay, [this, request, reachable, callback, reportUnknown, timeout, requestDelay, replyDelay] {
        const bool inTime = requestDelay + replyDelay < timeout;
        if (m_faults.outage) {
            if (inTime) {
                callback(make_error_code(result_code::append_failed), log_offset());
            }
            return;
        }
        const log_offset first = store(request);
        if (!inTime) {
            return;
        }
        if (!reachable()) {
            reportUnknown(requestDelay);
            return;
        }
        m_scheduler.after(replyDelay, [callback, first] {
            callback({}, first);
        });
    });
}

void fake_log::read(const read_log &request, const reachable_test &reachable, read_callback callback)
{
    // A read without a reply fails after the time for which the log may hold the request, plus one second for the network.
    const auto fail = [this, callback](time_span delay) {
        log_read_result failed;
        failed.error = make_error_code(result_code::log_unavailable);
        m_scheduler.after(delay, [callback, failed] {
            callback(failed);
        });
    };
    if (!reachable()) {
        fail(request.wait + 1s);
        return;
    }
    m_scheduler.after(latency(), [this, request, reachable, callback, fail] {
        if (m_faults.outage) {
            fail(1ms);
            return;
        }
        answerRead(request, m_scheduler.now() + request.wait, reachable, callback);
    });
}

void fake_log::answerRead(const read_log &request, monotonic_time deadline, const reachable_test &reachable, const read_callback &callback)
{
    const bool nothingNew = request.from >= end(request.stream);
    if (nothingNew && m_scheduler.now() < deadline && !m_faults.outage) {
        m_scheduler.after(1ms, [this, request, deadline, reachable, callback] {
            answerRead(request, deadline, reachable, callback);
        });
        return;
    }
    log_read_result result;
    if (m_faults.outage || !reachable()) {
        result.error = make_error_code(result_code::log_unavailable);
        m_scheduler.after(1s, [callback, result] {
            callback(result);
        });
        return;
    }
    result = contents(request);
    m_scheduler.after(latency(), [callback, result] {
        callback(result);
    });
}

log_read_result fake_log::contents(const read_log &request) const
{
    const stored_stream &stream = streamOf(request.stream);
    log_read_result result;
    result.earliest = log_offset(stream.expired + 1);
    result.end = end(request.stream);
    if (request.from < result.earliest) {
        result.error = make_error_code(result_code::offset_expired);
        return result;
    }
    for (std::uint64_t i = request.from.value(); i < result.end.value() && result.entries.size() < request.maxRecords; ++i) {
        result.entries.push_back({ log_offset(i), stream.records[i - 1] });
    }
    return result;
}

void fake_log::expire()
{
    for (stored_stream &stream : m_streams) {
        while (m_faults.retention.count() > 0 && stream.expired < stream.records.size()
               && stream.times[stream.expired] + m_faults.retention < m_scheduler.now()) {
            stream.expired += 1;
        }
    }
}

log_offset fake_log::end(log_stream stream) const
{
    return log_offset(streamOf(stream).records.size() + 1);
}

std::uint64_t fake_log::appendCount() const
{
    return m_appends;
}

const fake_log::stored_stream &fake_log::streamOf(log_stream stream) const
{
    return m_streams.at(static_cast<std::size_t>(stream));
}

} // namespace sycamoretray::harness
