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
// A relay that did not answer is left alone for this time.
constexpr time_span relayPause = std::chrono::milliseconds(1500);
// The same for one that refused: it learns first when the store is back.
constexpr time_span refusalPause = std::chrono::milliseconds(600);
// Time for the record of a new relay to arrive, after the former one refused.
constexpr std::uint32_t newRelayMilliseconds = 300;
// The same for the store, if it failed as well; every call of every instance is paid for.
constexpr time_span directPause = std::chrono::milliseconds(1000);
// Calls without an answer in a row for which the store counts as failed: a connection that went silent fails one call, a new one works.
constexpr int mostSilentCalls = 2;
// How often a read waits for the new relay or for the store's answer about it.
constexpr int mostWaits = 6;
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
    settings.closeIdleAfterTimeout = true;
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
    std::string relayTopic;
    /** Parameters of reads that say who this instance is. */
    std::string reader;
    bool readsForOthers = false;
    monotonic_time pausedUntil{};
    monotonic_time directPausedUntil{};
    /** Since when the relay has failed. */
    std::optional<monotonic_time> failingSince;
    /** Direct reads in a row that got no answer. */
    int silentCalls = 0;
    /** When the store answered a read of this instance last. */
    std::optional<monotonic_time> directAnsweredAt;
    std::uint64_t lastRead = 0;
    std::uint64_t lastDelayed = 0;
    /** Calls that wait for a new relay, or for the store. */
    std::map<std::uint64_t, std::function<void()>> delayed;
    std::map<std::uint64_t, open_read> reads;

    impl(metadata_store &givenStore, serial_executor givenExecutor, std::function<bool()> givenStoreAnswers)
        : store(givenStore)
        , executor(std::move(givenExecutor))
        , storeAnswers(std::move(givenStoreAnswers))
    {
    }

    std::string parameters() const
    {
        return reader + (readsForOthers ? "&relay=1" : "");
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

    /** The store answered this instance since the relay failed. */
    bool storeReached() const
    {
        return directAnsweredAt && (!failingSince || *directAnsweredAt >= *failingSince);
    }

    void noteDirectResult(store_result result)
    {
        if (result == store_result::ok || result == store_result::expired) {
            const bool wasReached = storeReached();
            directAnsweredAt = steadyNow();
            silentCalls = 0;
            if (!wasReached) {
                runAllDelayed();
            }
        } else if (pool && (result != store_result::unknown || ++silentCalls >= mostSilentCalls)) {
            directPausedUntil = steadyNow() + directPause;
            silentCalls = 0;
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

    void relayFailed(const std::string &topic, const http_exchange_result &result)
    {
        pausedUntil = steadyNow() + (result.code == result_code::ok ? refusalPause : relayPause);
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
        const std::string target
            = "/v1/topics/read?topic=" + topic + "&from=" + std::to_string(from.value()) + "&wait_ms=" + std::to_string(milliseconds) + parameters();
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
        relayFailed(topic, result);
        if (waitsForNewRelay(topic, result)) {
            startLater(id, topic, from, wait, done, 1);
            return;
        }
        readHere(id, topic, from, wait, done, 0);
    }

    void startLater(std::uint64_t id, const std::string &topic, log_offset from, time_span wait, const std::function<void(keyed_read)> &done, int waits)
    {
        reads[id] = {};
        later([this, id, topic, from, wait, done, waits] {
            if (reads.contains(id)) {
                start(id, topic, from, wait, done, waits);
            }
        });
    }

    /**
     * The relay answers, but relays no more: its successor may be known in a moment. An instance that others read from does not wait, nor
     * one that has asked the store since, because then the successor has failed too.
     */
    bool waitsForNewRelay(const std::string &topic, const http_exchange_result &result) const
    {
        return result.code == result_code::ok && topic != relayTopic && !readsForOthers && !storeReached();
    }

    /** Calls @p function after a moment, or as soon as the store answers. */
    void later(std::function<void()> function)
    {
        const std::uint64_t id = ++lastDelayed;
        delayed.emplace(id, std::move(function));
        executor.repeat(newRelayMilliseconds, [weak = weak_from_this(), id] {
            if (const auto self = weak.lock()) {
                self->runDelayed(id);
            }
            return false;
        });
    }

    void runDelayed(std::uint64_t id)
    {
        const auto found = delayed.extract(id);
        if (!found.empty()) {
            found.mapped()();
        }
    }

    void runAllDelayed()
    {
        for (const auto &each : delayed) {
            executor.post([weak = weak_from_this(), id = each.first] {
                if (const auto self = weak.lock()) {
                    self->runDelayed(id);
                }
            });
        }
    }

    void start(std::uint64_t id, const std::string &topic, log_offset from, time_span wait, const std::function<void(keyed_read)> &done, int waits)
    {
        if (usesRelay()) {
            relayRead(id, topic, from, wait, done);
        } else {
            readHere(id, topic, from, wait, done, waits);
        }
    }

    /** While the relay fails, one topic shows whether the store answers, and who relays now; the others wait for that. */
    void readHere(std::uint64_t id, const std::string &topic, log_offset from, time_span wait, const std::function<void(keyed_read)> &done, int waits)
    {
        const bool first = topic == relayTopic;
        const bool uncertain = pool && !readsForOthers && !storeReached();
        if (uncertain && !first && waits < mostWaits) {
            startLater(id, topic, from, wait, done, waits + 1);
        } else if (!mayReadDirectly() || (uncertain && !first)) {
            readUnavailable(id, done);
        } else {
            readDirectly(id, topic, from, uncertain ? time_span::zero() : wait, done);
        }
    }

    void list(const std::string &topic, const std::function<void(keyed_listing)> &done)
    {
        if (!usesRelay()) {
            store.list(topic, {}, done);
            return;
        }
        ask("/v1/topics/list?topic=" + topic + parameters(), relayTimeout, [weak = weak_from_this(), topic, done](const http_exchange_result &result) {
            if (const auto self = weak.lock()) {
                self->relayListDone(topic, result, done);
            }
        });
    }

    void relayListDone(const std::string &topic, const http_exchange_result &result, const std::function<void(keyed_listing)> &done)
    {
        const bool answered = result.code == result_code::ok && result.response.status == 200;
        auto reply = answered ? decodeRelayedListing(result.response.body) : std::nullopt;
        if (reply) {
            done(std::move(*reply));
            return;
        }
        relayFailed(topic, result);
        if (waitsForNewRelay(topic, result)) {
            later([this, topic, done] {
                list(topic, done);
            });
            return;
        }
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
    return d->failingSince && d->storeReached() ? steadyNow() - *d->failingSince : time_span::zero();
}

void relayed_store::setRelayTopic(const std::string &topic)
{
    d->relayTopic = topic;
}

void relayed_store::setReader(const network_address &instance, double weight)
{
    d->reader = "&reader=" + instance.value() + "&weight=" + std::to_string(weight);
}

void relayed_store::setReadsForOthers(bool readsForOthers)
{
    d->readsForOthers = readsForOthers;
}

bool relayed_store::readsFromRelay() const
{
    return d->usesRelay();
}

time_span relayed_store::readSpacing() const
{
    return d->readsForOthers || d->usesRelay() ? d->store.readSpacing() : ownReadSpacing;
}

std::uint64_t relayed_store::read(const std::string &topic, log_offset from, time_span wait, std::function<void(keyed_read)> done)
{
    const std::uint64_t id = ++d->lastRead;
    d->start(id, topic, from, wait, done, 0);
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
    if (!after.empty()) {
        d->store.list(topic, after, std::move(done));
        return;
    }
    d->list(topic, done);
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
