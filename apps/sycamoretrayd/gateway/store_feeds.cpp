#include "sycamoretrayd/gateway/store_feeds.h"

#include "documents/json_text.h"
#include "documents/network_address_text.h"
#include "executor/steady_time.h"
#include "metadata_store/keyed_topic_follower.h"
#include "observability/event_log.h"
#include "platform/configuration_codec.h"
#include "platform/endpoint_codec.h"
#include "platform/topics.h"
#include "sycamoretrayd/gateway/relay_record.h"
#include "sycamoretrayd/gateway/topic_relay.h"

#include <nlohmann/json.hpp>

#include <set>
#include <utility>

namespace sycamoretray
{

namespace
{

// Endpoints register again within about two seconds after an outage of the store.
constexpr time_span reregistrationGrace = std::chrono::milliseconds(2200);

} // namespace

struct store_feeds::impl {
    impl(metadata_store &store, topic_relay &givenRelay, const serial_executor &executor, feed_observer givenObserver)
        : relay(givenRelay)
        , observer(std::move(givenObserver))
        , directory(reregistrationGrace)
        , endpointFeed(store, platform::endpointTopic, executor, {}, endpointObserver())
        , configurationFeed(store, platform::operatorTopic, executor, {}, configurationObserver())
        , ownershipFeed(store, platform::ownershipTopic, executor, {}, ownershipObserver())
    {
    }

    topic_relay &relay;
    feed_observer observer;
    std::map<availability_zone, network_address> relays;
    coordinator_candidates instances;
    std::set<std::string> failingTopics;
    endpoint_directory directory;
    evacuated_zones evacuations;
    /** Evacuated zones as the directory knows them. */
    std::set<availability_zone> evacuated;
    ownership_view ownership;
    std::shared_ptr<const request_routes> routes;
    bool endpointsListed = false;
    bool configurationListed = false;
    bool allStarted = false;
    bool ownershipListed = false;
    /** Era in which the ownership topic was last listed. */
    store_era ownershipEra;
    keyed_topic_follower endpointFeed;
    keyed_topic_follower configurationFeed;
    keyed_topic_follower ownershipFeed;

    static directory_record endpointRecord(const keyed_record &record)
    {
        std::string problem;
        directory_record decoded = platform::decodeEndpoint(record, problem);
        if (!problem.empty()) {
            logEvent(event_severity::warning, "endpoint_entry_unreadable", { { "endpoint", record.key }, { "problem", problem } });
        }
        return decoded;
    }

    /** Returns an observer that updates the relay's copy of @p topic before it calls @p next. */
    topic_observer withRelayCopy(const std::string &topic, topic_observer next)
    {
        topic_observer result;
        result.onListed = [this, topic, next](const std::vector<keyed_record> &records, const topic_position &end) {
            relay.copyOf(topic).setListing(records, end);
            relay.topicChanged(topic);
            next.onListed(records, end);
        };
        result.onAppended = [this, topic, next](const std::vector<keyed_record> &records) {
            relay.copyOf(topic).appendRecords(records);
            relay.topicChanged(topic);
            next.onAppended(records);
        };
        result.onReadsFailing = [this, topic, next] {
            failingTopics.insert(topic);
            if (next.onReadsFailing) {
                next.onReadsFailing();
            }
        };
        result.onReadsRecovered = [this, topic, next] {
            failingTopics.erase(topic);
            if (next.onReadsRecovered) {
                next.onReadsRecovered();
            }
        };
        return result;
    }

    topic_observer endpointObserver()
    {
        topic_observer result;
        result.onListed = [this](const std::vector<keyed_record> &records, const topic_position &end) {
            std::vector<directory_record> listing;
            for (const keyed_record &record : records) {
                directory_record decoded = endpointRecord(record);
                if (decoded.entry) {
                    listing.push_back(std::move(decoded));
                }
            }
            endpointsListed = true;
            directory.applyListing(listing, end.era, end.offset, steadyNow());
            observer.endpointsChanged();
        };
        result.onAppended = [this](const std::vector<keyed_record> &records) {
            bool changed = false;
            for (const keyed_record &record : records) {
                const directory_record decoded = endpointRecord(record);
                if (directory.apply(decoded, steadyNow())) {
                    changed = true;
                    logEvent("endpoint_changed",
                             { { "endpoint", record.key },
                               { "state",
                                 !decoded.entry                ? "removed"
                                     : decoded.entry->draining ? "draining"
                                                               : "ready" },
                               { "offset", std::to_string(record.offset.value()) } });
                    if (!decoded.entry || decoded.entry->draining) {
                        observer.endpointLeaves("directory");
                    }
                }
            }
            if (changed) {
                observer.endpointsChanged();
            }
        };
        result.onReadsFailing = [this] {
            directory.sourceLost();
        };
        result.onReadsRecovered = [this] {
            directory.sourceReturned(steadyNow());
        };
        return withRelayCopy(platform::endpointTopic, std::move(result));
    }

    static std::vector<evacuation_record> evacuationRecords(const std::vector<keyed_record> &records)
    {
        std::vector<evacuation_record> result;
        for (const keyed_record &record : records) {
            if (auto zone = platform::evacuatedZone(record.key)) {
                result.push_back({ std::move(*zone), record.value.has_value(), record.offset });
            }
        }
        return result;
    }

    /** Time for which endpoints of the service count as cold after an evacuation. */
    time_span coldTimeOf(const service_id &service) const
    {
        const service_definition *definition = routes ? routes->service(service) : nullptr;
        return definition != nullptr && definition->coldRequestRate ? definition->coldTime : time_span::zero();
    }

    /** Passes the evacuated zones on, if they changed. */
    void updateEvacuations()
    {
        const std::set<availability_zone> before = std::exchange(evacuated, evacuations.zones());
        for (const availability_zone &zone : evacuated) {
            if (!before.contains(zone)) {
                logEvent("zone_evacuated", { { "zone", zone.value() } });
            }
        }
        for (const availability_zone &zone : before) {
            if (!evacuated.contains(zone)) {
                logEvent("zone_returned", { { "zone", zone.value() } });
            }
        }
        const auto coldTime = [this](const service_id &service) {
            return coldTimeOf(service);
        };
        if (directory.setEvacuated(evacuated, coldTime, steadyNow())) {
            observer.endpointsChanged();
        }
    }

    void applyConfiguration(const std::vector<keyed_record> &records)
    {
        bool changed = false;
        for (const keyed_record &record : records) {
            if (record.key != platform::configurationKey || !record.value) {
                continue;
            }
            std::string problem;
            auto decoded = platform::decodeConfiguration(*record.value, problem);
            if (!decoded) {
                logEvent(event_severity::error, "configuration_unreadable", { { "problem", problem } });
            } else if (!routes || decoded->version() > routes->version()) {
                logEvent("configuration_taken", { { "version", std::to_string(decoded->version()) }, { "routes", std::to_string(decoded->routes().size()) } });
                routes = std::move(decoded);
                changed = true;
            }
        }
        if (changed) {
            observer.routesChanged();
        }
    }

    topic_observer configurationObserver()
    {
        topic_observer result;
        // Evacuations come first: with the first configuration, this instance starts to send requests.
        result.onListed = [this](const std::vector<keyed_record> &records, const topic_position &end) {
            configurationListed = true;
            if (evacuations.applyListing(evacuationRecords(records), end.era, end.offset, steadyNow())) {
                updateEvacuations();
            }
            applyConfiguration(records);
        };
        result.onAppended = [this](const std::vector<keyed_record> &records) {
            bool changed = false;
            for (const evacuation_record &record : evacuationRecords(records)) {
                changed = evacuations.apply(record) || changed;
            }
            if (changed) {
                updateEvacuations();
            }
            applyConfiguration(records);
        };
        result.onReadsFailing = [this] {
            evacuations.sourceLost();
        };
        result.onReadsRecovered = [this] {
            evacuations.sourceReturned(steadyNow());
        };
        return withRelayCopy(platform::operatorTopic, std::move(result));
    }

    bool applyOwnershipRecord(const std::string &key, const std::string &value)
    {
        if (isPartKey(key)) {
            if (auto part = decodeOwnershipPart(value)) {
                return ownership.applyPart(std::move(*part));
            }
        } else if (auto header = decodeOwnershipHeader(value)) {
            return ownership.applyHeader(std::move(*header));
        }
        logEvent(event_severity::error, "ownership_record_unreadable", { { "key", key } });
        return false;
    }

    void applyOwnershipRecords(const std::vector<keyed_record> &records)
    {
        bool changed = false;
        bool relaysChanged = false;
        bool instancesChanged = false;
        for (const keyed_record &record : records) {
            if (!record.value) {
                continue;
            }
            if (const auto zone = relayZone(record.key)) {
                if (!isNetworkAddress(*record.value)) {
                    logEvent(event_severity::error, "relay_record_unreadable", { { "key", record.key } });
                    continue;
                }
                relays[*zone] = network_address(*record.value);
                relaysChanged = true;
                continue;
            }
            if (const auto zone = instancesZone(record.key)) {
                instances[*zone] = decodeCandidates(*record.value);
                instancesChanged = true;
                continue;
            }
            changed = applyOwnershipRecord(record.key, *record.value) || changed;
        }
        if (changed) {
            observer.ownershipChanged();
        }
        if (relaysChanged) {
            observer.relaysChanged();
        }
        if (instancesChanged) {
            observer.instancesChanged();
        }
    }

    topic_observer ownershipObserver()
    {
        topic_observer result;
        result.onListed = [this](const std::vector<keyed_record> &records, const topic_position &end) {
            const bool restored = ownershipListed && end.era != ownershipEra;
            ownershipListed = true;
            ownershipEra = end.era;
            applyOwnershipRecords(records);
            if (restored) {
                observer.storeRestored();
            }
        };
        result.onAppended = [this](const std::vector<keyed_record> &records) {
            applyOwnershipRecords(records);
        };
        return withRelayCopy(platform::ownershipTopic, std::move(result));
    }
};

store_feeds::store_feeds(metadata_store &store, topic_relay &relay, serial_executor executor, feed_observer observer)
    : d(std::make_unique<impl>(store, relay, executor, std::move(observer)))
{
}

store_feeds::~store_feeds() = default;

void store_feeds::start()
{
    d->ownershipFeed.start();
}

void store_feeds::startAll()
{
    if (!std::exchange(d->allStarted, true)) {
        d->endpointFeed.start();
        d->configurationFeed.start();
    }
}

void store_feeds::restart()
{
    d->ownershipFeed.restart();
    if (d->allStarted) {
        d->endpointFeed.restart();
        d->configurationFeed.restart();
    }
}

void store_feeds::expire(monotonic_time now)
{
    if (d->evacuations.expire(now)) {
        d->updateEvacuations();
    }
    if (d->directory.expire(now)) {
        d->observer.endpointsChanged();
    }
}

void store_feeds::endpointLeaves(const endpoint_incarnation &incarnation, monotonic_time now)
{
    if (d->directory.setLeaving(incarnation, now)) {
        logEvent("endpoint_leaving", { { "endpoint", incarnation.endpoint.value() }, { "started_ms", std::to_string(incarnation.startedAtMs) } });
        d->observer.endpointLeaves("answer");
        d->observer.endpointsChanged();
    }
}

void store_feeds::applyOwnership(const ownership_record &record)
{
    if (d->ownership.apply(record)) {
        d->observer.ownershipChanged();
    }
}

const endpoint_directory &store_feeds::directory() const noexcept
{
    return d->directory;
}

const std::set<availability_zone> &store_feeds::evacuatedZones() const noexcept
{
    return d->evacuated;
}

std::string store_feeds::dumpEvacuatedZones() const
{
    nlohmann::json names = nlohmann::json::array();
    for (const availability_zone &zone : d->evacuated) {
        names.push_back(zone.value());
    }
    return toJsonText(names, 1);
}

const ownership_view &store_feeds::ownership() const noexcept
{
    return d->ownership;
}

const std::shared_ptr<const request_routes> &store_feeds::routes() const noexcept
{
    return d->routes;
}

bool store_feeds::isComplete() const noexcept
{
    return d->endpointsListed && d->ownershipListed && d->routes;
}

bool store_feeds::isListed() const noexcept
{
    return d->endpointsListed && d->ownershipListed && d->configurationListed;
}

const std::map<availability_zone, network_address> &store_feeds::relays() const noexcept
{
    return d->relays;
}

const coordinator_candidates &store_feeds::instances() const noexcept
{
    return d->instances;
}

bool store_feeds::isReadFailing() const noexcept
{
    return !d->failingTopics.empty();
}

store_era store_feeds::era() const noexcept
{
    return d->ownershipEra;
}

const topic_position &store_feeds::ownershipPosition() const noexcept
{
    return d->ownershipFeed.position();
}

} // namespace sycamoretray
