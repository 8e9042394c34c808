#include "sycamoretrayd/gateway/relayed_store.h"

#include "executor/steady_time.h"
#include "http_client/http_connection_pool.h"
#include "http_message/http_writer.h"
#include "metadata_store/relay_codec.h"
#include "observability/event_log.h"

#include <map>
#include <utility>

namespace sycamoretray
{

namespace
{

// Beyond the time that the relay holds the read. Short, because a relay that stands still delays what this instance learns.
constexpr time_span relayTimeout = std::chrono::milliseconds(300);
// A relay that failed is left alone for this time.
constexpr time_span relayPause = std::chrono::milliseconds(1500);
// The same for the store, if it failed as well.
constexpr time_span directPause = std::chrono::milliseconds(2000);
// Longer than a relay holds a read and its caller waits for it.
constexpr std::uint32_t formerRelayMilliseconds = 15000;
// Between reads of the store by an instance that reads for itself alone: hundreds of records arrive within seconds when a site
// starts, and every read of every instance is paid for. Leaving endpoints and configurations have to be known within 2 s.
constexpr time_span ownReadSpacing = std::chrono::milliseconds(400);
constexpr std::uint64_t mostReplyBytes = 16ULL * 1024 * 1024;

connection_pool_settings poolSettings()
{
    connection_pool_settings settings;
    settings.spareConnections = 0;
    settings.connectTimeout = relayTimeout;
    settings.limits.bodyBytes = mostReplyBytes;
    return settings;
}

} // namespace

struct relayed_store::impl : std::enable_shared_from_this<impl> {
    struct open_read {
        /** Pool of the relay that was asked; empty for the store. */
        std::shared_ptr<http_connection_pool> pool;
        std::uint64_t inner = 0;
    };

    metadata_store &store;
    serial_executor executor;
    std::function<bool()> storeAnswers;
    std::optional<network_address> relay;
    std::shared_ptr<http_connection_pool> pool;
    bool readsForOthers = false;
    monotonic_time pausedUntil{};
    monotonic_time directPausedUntil{};
    /** Since when the relay has failed. */
    std::optional<monotonic_time> failingSince;
    std::uint64_t lastRead = 0;
    std::map<std::uint64_t, open_read> reads;

    impl(metadata_store &givenStore, serial_executor givenExecutor, std::function<bool()> givenStoreAnswers)
        : store(givenStore)
        , executor(std::move(givenExecutor))
        , storeAnswers(std::move(givenStoreAnswers))
    {
    }

    bool usesRelay() const
    {
        return pool && steadyNow() >= pausedUntil;
    }

    /** While the relay fails because the store does, the store is asked now and then only. */
    bool mayReadDirectly() const
    {
        return !pool || (storeAnswers() && steadyNow() >= directPausedUntil);
    }

    void noteDirectResult(store_result result)
    {
        if (pool && result != store_result::ok && result != store_result::expired) {
            directPausedUntil = steadyNow() + directPause;
        }
    }

    void readUnavailable(std::uint64_t id, std::function<void(keyed_read)> done)
    {
        executor.post([weak = weak_from_this(), id, done = std::move(done)] {
            const auto self = weak.lock();
            if (self && self->reads.erase(id) > 0) {
                keyed_read failed;
                failed.result = store_result::unavailable;
                done(std::move(failed));
            }
        });
        reads[id] = {};
    }

    std::uint64_t ask(const std::string &target, time_span timeout, http_connection_pool::callback done)
    {
        std::string wire;
        appendRequest(wire, "GET", target, { { "Host", relay->value() } }, {}, {});
        return pool->exchange(std::move(wire), false, timeout, std::move(done));
    }

    void relayFailed(const std::string &topic)
    {
        pausedUntil = steadyNow() + relayPause;
        if (!failingSince) {
            failingSince = steadyNow();
        }
        logEvent(event_severity::warning,
                 "relay_failed",
                 { { "topic", topic }, { "relay", relay ? relay->value() : "" }, { "store", storeAnswers() ? "answers" : "lost" } });
    }

    void readDirectly(std::uint64_t id, const std::string &topic, log_offset from, time_span wait, std::function<void(keyed_read)> done)
    {
        reads[id] = { nullptr, store.read(topic, from, wait, [weak = weak_from_this(), id, done = std::move(done)](keyed_read reply) {
                         if (const auto self = weak.lock()) {
                             self->reads.erase(id);
                             self->noteDirectResult(reply.result);
                             done(std::move(reply));
                         }
                     }) };
    }

    void relayRead(std::uint64_t id, const std::string &topic, log_offset from, time_span wait, std::function<void(keyed_read)> done)
    {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
        const std::string target = "/v1/topics/read?topic=" + topic + "&from=" + std::to_string(from.value()) + "&wait_ms=" + std::to_string(milliseconds);
        const std::uint64_t inner
            = ask(target, wait + relayTimeout, [weak = weak_from_this(), id, topic, from, wait, done = std::move(done)](const http_exchange_result &result) {
                  if (const auto self = weak.lock()) {
                      self->reads.erase(id);
                      self->relayReadDone(id, topic, from, wait, result, done);
                  }
              });
        reads[id] = { pool, inner };
    }

    void relayReadDone(std::uint64_t id,
                       const std::string &topic,
                       log_offset from,
                       time_span wait,
                       const http_exchange_result &result,
                       const std::function<void(keyed_read)> &done)
    {
        const bool answered = result.code == result_code::ok && result.response.status == 200;
        auto reply = answered ? decodeRelayedRead(result.response.body) : std::nullopt;
        if (reply) {
            failingSince.reset();
            done(std::move(*reply));
            return;
        }
        relayFailed(topic);
        if (mayReadDirectly()) {
            readDirectly(id, topic, from, wait, done);
        } else {
            readUnavailable(id, done);
        }
    }

    void relayListDone(const std::string &topic, const http_exchange_result &result, const std::function<void(keyed_listing)> &done)
    {
        const bool answered = result.code == result_code::ok && result.response.status == 200;
        auto reply = answered ? decodeRelayedListing(result.response.body) : std::nullopt;
        if (reply) {
            done(std::move(*reply));
            return;
        }
        relayFailed(topic);
        store.list(topic, {}, done);
    }
};

relayed_store::relayed_store(metadata_store &store, serial_executor executor, std::function<bool()> storeAnswers)
    : d(std::make_shared<impl>(store, std::move(executor), std::move(storeAnswers)))
{
}

relayed_store::~relayed_store() = default;

void relayed_store::setRelay(const std::optional<network_address> &relay)
{
    if (d->relay == relay) {
        return;
    }
    logEvent("relay_changed", { { "relay", relay ? relay->value() : "none" } });
    d->relay = relay;
    d->pausedUntil = {};
    d->failingSince.reset();
    if (d->pool) {
        // The pool is kept until reads that wait at the former relay have ended.
        d->executor.repeat(formerRelayMilliseconds, [former = std::exchange(d->pool, nullptr)] {
            return false;
        });
    }
    if (relay) {
        d->pool = std::make_shared<http_connection_pool>(d->executor, *relay, poolSettings());
    }
}

time_span relayed_store::relayFailing() const
{
    return d->failingSince ? steadyNow() - *d->failingSince : time_span::zero();
}

void relayed_store::setReadsForOthers(bool readsForOthers)
{
    d->readsForOthers = readsForOthers;
}

time_span relayed_store::readSpacing() const
{
    return d->readsForOthers || d->usesRelay() ? d->store.readSpacing() : ownReadSpacing;
}

std::uint64_t relayed_store::read(const std::string &topic, log_offset from, time_span wait, std::function<void(keyed_read)> done)
{
    const std::uint64_t id = ++d->lastRead;
    if (d->usesRelay()) {
        d->relayRead(id, topic, from, wait, std::move(done));
    } else if (d->mayReadDirectly()) {
        d->readDirectly(id, topic, from, wait, std::move(done));
    } else {
        d->readUnavailable(id, std::move(done));
    }
    return id;
}

void relayed_store::abort(std::uint64_t read)
{
    const auto found = d->reads.find(read);
    if (found == d->reads.end()) {
        return;
    }
    const impl::open_read open = found->second;
    d->reads.erase(found);
    if (open.pool) {
        open.pool->abort(open.inner);
    } else {
        d->store.abort(open.inner);
    }
}

void relayed_store::list(const std::string &topic, const std::string &after, std::function<void(keyed_listing)> done)
{
    if (!d->usesRelay() || !after.empty()) {
        d->store.list(topic, after, std::move(done));
        return;
    }
    d->ask("/v1/topics/list?topic=" + topic, relayTimeout, [weak = d->weak_from_this(), topic, done = std::move(done)](const http_exchange_result &result) {
        if (const auto self = weak.lock()) {
            self->relayListDone(topic, result, done);
        }
    });
}

void relayed_store::append(const std::string &topic,
                           const std::vector<keyed_value> &records,
                           const std::optional<producer_position> &position,
                           std::function<void(append_reply)> done)
{
    d->store.append(topic, records, position, std::move(done));
}

void relayed_store::join(const std::string &group,
                         const std::string &member,
                         const std::string &topic,
                         time_span timeToLive,
                         std::uint64_t generation,
                         std::function<void(join_reply)> done)
{
    d->store.join(group, member, topic, timeToLive, generation, std::move(done));
}

void relayed_store::leave(const std::string &group, const std::string &member)
{
    d->store.leave(group, member);
}

} // namespace sycamoretray
