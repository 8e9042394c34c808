#include "sycamoretrayd/gateway/relayed_store.h"

#include "executor/steady_time.h"
#include "http_client/http_connection_pool.h"
#include "http_message/http_writer.h"
#include "metadata_store/relay_codec.h"
#include "observability/event_log.h"
#include "sycamoretrayd/gateway/alternate_relays.h"

#include <map>
#include <utility>

namespace sycamoretray
{

namespace
{

// Added to the time for which the relay holds a read. Short, because an unresponsive relay delays updates of this instance.
constexpr time_span relayTimeout = std::chrono::milliseconds(300);
// Backoff after a relay did not answer.
constexpr time_span unansweredRelayBackoff = std::chrono::milliseconds(1500);
// Backoff after a relay refused. Shorter, because a relay notices first that the store answers again.
constexpr time_span refusingRelayBackoff = std::chrono::milliseconds(600);
// After a relay refused, time to wait for the record of its successor.
constexpr std::uint32_t newRelayWaitMilliseconds = 300;
// Backoff after the store failed as well as the relay, because each call of every instance is charged for.
constexpr time_span directReadBackoff = std::chrono::milliseconds(1000);
// The store counts as failed after this number of calls in a row without an answer. One is not enough: a single dead connection fails one
// call, and the next one opens a new connection.
constexpr int maxUnansweredCalls = 2;
// Number of times that a read waits for a new relay or for the store to answer.
constexpr int maxNewRelayWaits = 6;
// Longer than the longest read that a relay holds.
constexpr std::uint32_t formerPoolLifetimeMilliseconds = 15000;
// Spacing between reads of the store by an instance that reads for itself only: each read is charged for, and hundreds of records arrive
// within seconds when a site starts. The upper bound is that draining endpoints and configurations have to be known within 2 s.
constexpr time_span directReadSpacing = std::chrono::milliseconds(400);
constexpr std::uint64_t maxReplyBytes = 16ULL * 1024 * 1024;

connection_pool_settings poolSettings()
{
    connection_pool_settings settings;
    settings.spareConnections = 0;
    settings.closeIdleAfterTimeout = true;
    settings.connectTimeout = relayTimeout;
    settings.limits.bodyBytes = maxReplyBytes;
    return settings;
}

/** Returns whether the store or a relay answered the call. */
bool isAnswer(store_result result)
{
    return result == store_result::ok || result == store_result::expired;
}

std::string readTarget(const std::string &topic, const topic_position &from, time_span wait)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return "/v1/topics/read?topic=" + topic + "&from=" + std::to_string(from.offset.value()) + "&era=" + std::to_string(from.era.value())
        + "&wait_ms=" + std::to_string(milliseconds);
}

/** Decodes the answer of a relay. Returns nullopt if it refused, did not answer, or answered something else. */
template<class Reply>
std::optional<Reply> decodeAnswer(const http_exchange_result &result, std::optional<Reply> (*decode)(std::string_view body))
{
    return result.code == result_code::ok && result.response.status == 200 ? decode(result.response.body.text()) : std::nullopt;
}

} // namespace

struct relayed_store::impl : std::enable_shared_from_this<impl> {
    struct running_read {
        /** Connection pool of the relay that is read from; empty if the store is. */
        std::shared_ptr<http_connection_pool> pool;
        std::uint64_t innerId = 0;
    };

    metadata_store &store;
    serial_executor executor;
    std::function<bool()> storeAnswers;
    std::optional<network_address> relay;
    std::shared_ptr<http_connection_pool> pool;
    std::string relayTopic;
    /** Query parameters that identify this instance. */
    std::string reader;
    bool readsForOthers = false;
    monotonic_time relayBackoffUntil{};
    monotonic_time directBackoffUntil{};
    /** When the relay started to fail. */
    std::optional<monotonic_time> relayFailingSince;
    /** Number of direct reads in a row without an answer. */
    int unansweredCalls = 0;
    /** When the store last answered a direct read. */
    std::optional<monotonic_time> directAnsweredAt;
    alternate_relays alternates;
    /** When an alternate relay last answered a read. */
    std::optional<monotonic_time> alternateAnsweredAt;
    /** The last read that was answered came from an alternate relay. */
    bool lastReadFromAlternate = false;
    std::uint64_t lastReadId = 0;
    std::uint64_t lastDelayedId = 0;
    /** Calls that wait for a new relay, or for the store to answer. */
    std::map<std::uint64_t, std::function<void()>> delayed;
    std::map<std::uint64_t, running_read> reads;

    impl(metadata_store &givenStore, serial_executor givenExecutor, std::function<bool()> givenStoreAnswers)
        : store(givenStore)
        , executor(std::move(givenExecutor))
        , storeAnswers(std::move(givenStoreAnswers))
        , alternates(executor, poolSettings())
    {
    }

    std::string readerParameters() const
    {
        return reader + (readsForOthers ? "&relay=1" : "");
    }

    bool usesRelay() const
    {
        return pool && steadyNow() >= relayBackoffUntil;
    }

    /** Returns whether the store may be read directly. Direct reads are rare while the relay fails because the store does. */
    bool mayReadDirectly() const
    {
        return !pool || (storeAnswers() && steadyNow() >= directBackoffUntil);
    }

    /** Returns whether the store has answered a direct read since the relay failed. */
    bool storeReached() const
    {
        return directAnsweredAt && (!relayFailingSince || *directAnsweredAt >= *relayFailingSince);
    }

    /** Returns whether an alternate relay has answered since the relay failed, and the store has not. */
    bool prefersAlternate() const
    {
        return alternates.isUsable() && alternateAnsweredAt && relayFailingSince && *alternateAnsweredAt >= *relayFailingSince && !storeReached();
    }

    void recordDirectResult(store_result result)
    {
        if (isAnswer(result)) {
            lastReadFromAlternate = false;
            const bool wasReached = storeReached();
            directAnsweredAt = steadyNow();
            unansweredCalls = 0;
            if (!wasReached) {
                runAllDelayed();
            }
        } else if (pool && (result != store_result::unknown || ++unansweredCalls >= maxUnansweredCalls)) {
            directBackoffUntil = steadyNow() + directReadBackoff;
            unansweredCalls = 0;
        }
    }

    void failRead(std::uint64_t id, std::function<void(keyed_read)> done)
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

    std::uint64_t sendToRelay(const std::string &target, time_span timeout, http_connection_pool::callback done)
    {
        std::string wire;
        appendRequest(wire, "GET", target, { { "Host", relay->value() } }, {}, {});
        return pool->exchange(std::move(wire), false, timeout, std::move(done));
    }

    void relayFailed(const std::string &topic, const http_exchange_result &result)
    {
        relayBackoffUntil = steadyNow() + (result.code == result_code::ok ? refusingRelayBackoff : unansweredRelayBackoff);
        if (!relayFailingSince) {
            relayFailingSince = steadyNow();
        }
        logEvent(event_severity::warning,
                 "relay_failed",
                 { { "topic", topic }, { "relay", relay ? relay->value() : "" }, { "store", storeAnswers() ? "answers" : "lost" } });
    }

    void readDirectly(std::uint64_t id, const std::string &topic, const topic_position &from, time_span wait, const std::function<void(keyed_read)> &done)
    {
        reads[id] = { nullptr, store.read(topic, from, wait, [weak = weak_from_this(), id, topic, from, wait, done](keyed_read reply) {
                         if (const auto self = weak.lock()) {
                             self->reads.erase(id);
                             self->recordDirectResult(reply.result);
                             if (isAnswer(reply.result)) {
                                 done(std::move(reply));
                             } else {
                                 self->readFromAlternate(id, topic, from, wait, done);
                             }
                         }
                     }) };
    }

    /** Reads from another relay, which may know more than this instance, or fails the read. */
    void readFromAlternate(std::uint64_t id, const std::string &topic, const topic_position &from, time_span wait, const std::function<void(keyed_read)> &done)
    {
        if (!alternates.isUsable()) {
            failRead(id, done);
            return;
        }
        // Without the identity of this instance, which may not be one of the relay's zone.
        const auto innerId
            = alternates.get(readTarget(topic, from, wait), wait + relayTimeout, [weak = weak_from_this(), id, done](const http_exchange_result &result) {
                  const auto self = weak.lock();
                  if (!self || self->reads.erase(id) == 0) {
                      return;
                  }
                  auto reply = decodeAnswer(result, decodeRelayedRead);
                  if (reply) {
                      self->alternateAnswered();
                  }
                  keyed_read failed;
                  failed.result = store_result::unavailable;
                  done(reply ? std::move(*reply) : failed);
              });
        reads[id] = { alternates.pool(), innerId };
    }

    void alternateAnswered()
    {
        const bool first = !prefersAlternate();
        alternateAnsweredAt = steadyNow();
        lastReadFromAlternate = true;
        if (first) {
            runAllDelayed();
        }
    }

    void readFromRelay(std::uint64_t id, const std::string &topic, const topic_position &from, time_span wait, std::function<void(keyed_read)> done)
    {
        const std::uint64_t innerId = sendToRelay(readTarget(topic, from, wait) + readerParameters(),
                                                  wait + relayTimeout,
                                                  [weak = weak_from_this(), id, topic, from, wait, done = std::move(done)](const http_exchange_result &result) {
                                                      if (const auto self = weak.lock()) {
                                                          self->reads.erase(id);
                                                          self->handleRelayRead(id, topic, from, wait, result, done);
                                                      }
                                                  });
        reads[id] = { pool, innerId };
    }

    void handleRelayRead(std::uint64_t id,
                         const std::string &topic,
                         const topic_position &from,
                         time_span wait,
                         const http_exchange_result &result,
                         const std::function<void(keyed_read)> &done)
    {
        if (auto reply = decodeAnswer(result, decodeRelayedRead)) {
            relayFailingSince.reset();
            lastReadFromAlternate = false;
            done(std::move(*reply));
            return;
        }
        relayFailed(topic, result);
        if (shouldWaitForNewRelay(topic, result)) {
            startReadLater(id, topic, from, wait, done, 1);
            return;
        }
        readWithoutRelay(id, topic, from, wait, done, 0);
    }

    void startReadLater(std::uint64_t id,
                        const std::string &topic,
                        const topic_position &from,
                        time_span wait,
                        const std::function<void(keyed_read)> &done,
                        int waits)
    {
        reads[id] = {};
        runLater([this, id, topic, from, wait, done, waits] {
            if (reads.contains(id)) {
                startRead(id, topic, from, wait, done, waits);
            }
        });
    }

    /**
     * Returns whether to wait for a new relay: the former one answered but refused, so its successor may soon be known. A relay does not
     * wait, nor does an instance to which the store has answered since the failure, because then the successor has failed too.
     */
    bool shouldWaitForNewRelay(const std::string &topic, const http_exchange_result &result) const
    {
        return result.code == result_code::ok && topic != relayTopic && !readsForOthers && !storeReached();
    }

    /** Calls @p function after a short wait, or as soon as the store answers. */
    void runLater(std::function<void()> function)
    {
        const std::uint64_t id = ++lastDelayedId;
        delayed.emplace(id, std::move(function));
        executor.repeat(newRelayWaitMilliseconds, [weak = weak_from_this(), id] {
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

    void startRead(std::uint64_t id,
                   const std::string &topic,
                   const topic_position &from,
                   time_span wait,
                   const std::function<void(keyed_read)> &done,
                   int waits)
    {
        if (usesRelay()) {
            readFromRelay(id, topic, from, wait, done);
        } else {
            readWithoutRelay(id, topic, from, wait, done, waits);
        }
    }

    /**
     * Reads from the store while the relay fails. The topic that names the relays is read first, and shows whether the store answers and
     * which instance is the new relay; the other topics wait for that.
     */
    void readWithoutRelay(std::uint64_t id,
                          const std::string &topic,
                          const topic_position &from,
                          time_span wait,
                          const std::function<void(keyed_read)> &done,
                          int waits)
    {
        const bool namesRelays = topic == relayTopic;
        const bool storeUnverified = pool && !readsForOthers && !storeReached();
        const bool mayRead = mayReadDirectly() && (namesRelays || !storeUnverified);
        const bool mayWait = storeUnverified && !namesRelays && waits < maxNewRelayWaits && !prefersAlternate();
        if (mayWait) {
            startReadLater(id, topic, from, wait, done, waits + 1);
        } else if (mayRead) {
            readDirectly(id, topic, from, storeUnverified ? time_span::zero() : wait, done);
        } else {
            readFromAlternate(id, topic, from, wait, done);
        }
    }

    void list(const std::string &topic, const std::function<void(keyed_listing)> &done)
    {
        if (!usesRelay()) {
            listDirectly(topic, done);
            return;
        }
        sendToRelay(
            "/v1/topics/list?topic=" + topic + readerParameters(), relayTimeout, [weak = weak_from_this(), topic, done](const http_exchange_result &result) {
                if (const auto self = weak.lock()) {
                    self->handleRelayListing(topic, result, done);
                }
            });
    }

    void handleRelayListing(const std::string &topic, const http_exchange_result &result, const std::function<void(keyed_listing)> &done)
    {
        if (auto reply = decodeAnswer(result, decodeRelayedListing)) {
            done(std::move(*reply));
            return;
        }
        relayFailed(topic, result);
        if (shouldWaitForNewRelay(topic, result)) {
            runLater([this, topic, done] {
                list(topic, done);
            });
            return;
        }
        listDirectly(topic, done);
    }

    void listDirectly(const std::string &topic, const std::function<void(keyed_listing)> &done)
    {
        store.list(topic, {}, [weak = weak_from_this(), topic, done](keyed_listing listing) {
            const auto self = weak.lock();
            if (!self || isAnswer(listing.result) || !self->alternates.isUsable()) {
                done(std::move(listing));
                return;
            }
            self->alternates.get("/v1/topics/list?topic=" + topic, relayTimeout, [done](const http_exchange_result &result) {
                auto reply = decodeAnswer(result, decodeRelayedListing);
                done(reply ? std::move(*reply) : keyed_listing());
            });
        });
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
    d->relayBackoffUntil = {};
    d->relayFailingSince.reset();
    if (d->pool) {
        // The pool is kept until the reads in flight at the former relay have ended.
        d->executor.repeat(formerPoolLifetimeMilliseconds, [former = std::exchange(d->pool, nullptr)] {
            return false;
        });
    }
    if (relay) {
        d->pool = std::make_shared<http_connection_pool>(d->executor, *relay, poolSettings());
    }
}

time_span relayed_store::relayFailureDuration() const
{
    return d->relayFailingSince && d->storeReached() ? steadyNow() - *d->relayFailingSince : time_span::zero();
}

void relayed_store::setAlternates(const std::vector<network_address> &relays)
{
    d->alternates.set(relays);
}

bool relayed_store::readsFromAlternate() const
{
    return d->lastReadFromAlternate;
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
    return d->readsForOthers || d->usesRelay() ? d->store.readSpacing() : directReadSpacing;
}

std::uint64_t relayed_store::read(const std::string &topic, const topic_position &from, time_span wait, std::function<void(keyed_read)> done)
{
    const std::uint64_t id = ++d->lastReadId;
    d->startRead(id, topic, from, wait, done, 0);
    return id;
}

void relayed_store::abort(std::uint64_t read)
{
    const auto found = d->reads.find(read);
    if (found == d->reads.end()) {
        return;
    }
    const impl::running_read running = found->second;
    d->reads.erase(found);
    if (running.pool) {
        running.pool->abort(running.innerId);
    } else {
        d->store.abort(running.innerId);
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
