#include "sycamoretrayd/gateway/ownership_appender.h"

#include "executor/steady_time.h"
#include "key_ownership/key_assigner.h"
#include "key_ownership/ownership_parts.h"
#include "observability/event_log.h"
#include "platform/topics.h"

#include <deque>
#include <optional>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr time_span appendRetryInterval = std::chrono::milliseconds(100);
constexpr std::uint32_t resignationCheckMilliseconds = 50;

} // namespace

struct ownership_appender::impl : std::enable_shared_from_this<impl> {
    impl(metadata_store &givenStore, serial_executor givenExecutor, std::uint64_t givenEpoch, ownership_append_observer givenObserver)
        : store(givenStore)
        , executor(std::move(givenExecutor))
        , epoch(givenEpoch)
        , observer(std::move(givenObserver))
    {
    }

    struct queued_write {
        service_id service;
        write_record write;
        /** Records of the append; a retry has to send the same records. */
        std::vector<keyed_value> records;
    };

    metadata_store &store;
    serial_executor executor;
    std::uint64_t epoch;
    ownership_append_observer observer;
    std::deque<queued_write> writes;
    ownership_record_writer recordWriter;
    /** Set while resigning. */
    std::optional<std::vector<ownership_record>> resignation;
    std::vector<keyed_value> resignationRecords;
    monotonic_time resignUntil{};
    std::uint64_t nextSequence = 0;
    bool inFlight = false;
    bool ended = false;
    monotonic_time nextWrite{};

    bool appendsResignation() const
    {
        return writes.empty() && resignation;
    }

    const std::vector<keyed_value> &nextRecords()
    {
        if (appendsResignation()) {
            for (std::size_t i = 0; resignationRecords.empty() && i < resignation->size(); ++i) {
                const std::vector<keyed_value> changes = recordWriter.changes((*resignation)[i]);
                resignationRecords.insert(resignationRecords.end(), changes.begin(), changes.end());
            }
            return resignationRecords;
        }
        queued_write &next = writes.front();
        if (next.records.empty()) {
            next.records = recordWriter.changes(next.write.record);
        }
        return next.records;
    }

    void advance()
    {
        if (inFlight || (writes.empty() && !resignation) || steadyNow() < nextWrite) {
            return;
        }
        inFlight = true;
        store.append(platform::ownershipTopic,
                     nextRecords(),
                     producer_position{ assignerProducer, epoch, nextSequence },
                     [self = shared_from_this()](const append_reply &reply) {
                         self->inFlight = false;
                         if (!self->ended) {
                             self->handleReply(reply);
                         }
                     });
    }

    void handleReply(const append_reply &reply)
    {
        switch (reply.result) {
        case store_result::ok:
            finishAppend();
            break;
        case store_result::unknown:
            // The append is retried with the same sequence number, so the store executes it at most once.
            nextWrite = steadyNow() + appendRetryInterval / 2;
            break;
        case store_result::fenced:
        case store_result::out_of_sequence:
            handleSuperseded();
            return;
        case store_result::unavailable:
            nextWrite = steadyNow() + appendRetryInterval;
            dropWriteBeforeResignation();
            break;
        case store_result::expired:
        case store_result::rejected:
            logEvent(event_severity::error, "ownership_record_rejected", { { "epoch", std::to_string(epoch) } });
            nextWrite = steadyNow() + appendRetryInterval;
            dropWriteBeforeResignation();
            break;
        }
        if (ended) {
            return;
        }
        if (resignation) {
            advance();
        } else {
            observer.replied();
        }
    }

    /** A record that was certainly not appended need not precede the resignation, which contains its changes. */
    void dropWriteBeforeResignation()
    {
        if (resignation) {
            writes.clear();
        }
    }

    void handleSuperseded()
    {
        ended = true;
        if (!resignation) {
            observer.superseded();
        }
    }

    void finishAppend()
    {
        ++nextSequence;
        if (appendsResignation()) {
            ended = true;
            logEvent("assigner_resigned", { { "epoch", std::to_string(epoch) } });
            return;
        }
        const queued_write done = std::move(writes.front());
        writes.pop_front();
        recordWriter.written(done.write.record);
        if (!resignation) {
            observer.written(done.service, done.write);
        }
    }

    void resign(std::vector<ownership_record> records)
    {
        if (ended || resignation || records.empty()) {
            return;
        }
        resignation = std::move(records);
        writes.resize(inFlight ? 1 : 0);
        nextWrite = {};
        // A later assigner waits no longer than this for the grants of an earlier one.
        resignUntil = steadyNow() + assigner_settings().unconfirmedLeadershipLimit;
        advance();
        executor.repeat(resignationCheckMilliseconds, [self = shared_from_this()] {
            self->ended = self->ended || steadyNow() > self->resignUntil;
            if (!self->ended) {
                self->advance();
            }
            return !self->ended;
        });
    }
};

ownership_appender::ownership_appender(metadata_store &store, serial_executor executor, std::uint64_t epoch, ownership_append_observer observer)
    : d(std::make_shared<impl>(store, std::move(executor), epoch, std::move(observer)))
{
}

ownership_appender::~ownership_appender()
{
    d->ended = d->ended || !d->resignation;
}

void ownership_appender::push(const service_id &service, const write_record &write)
{
    d->writes.push_back({ service, write, {} });
}

void ownership_appender::advance()
{
    d->advance();
}

void ownership_appender::resign(std::vector<ownership_record> records)
{
    d->resign(std::move(records));
}

} // namespace sycamoretray
