#include "sycamoretrayd/gateway/ownership_runner.h"

#include "executor/steady_time.h"
#include "key_ownership/key_assigner.h"
#include "key_ownership/leadership_machine.h"
#include "key_ownership/ownership_parts.h"
#include "metadata_store/relay_reserve.h"
#include "observability/event_log.h"
#include "platform/topics.h"
#include "sycamoretrayd/gateway/group_membership.h"
#include "sycamoretrayd/gateway/relay_record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace sycamoretray
{

namespace
{

// A relay that is lost is replaced by reads of the store itself, so its zone need not notice at once.
constexpr int zoneTimeToLiveFactor = 2;
// Silence of the store after which a relay may be out of date.
constexpr time_span storeSilence = std::chrono::milliseconds(1600);
// The same for what it passes on to other relays, whose readers add their own delay: two memberships are confirmed each 0.3 s.
constexpr time_span storeSilenceForRelays = std::chrono::milliseconds(800);
// The store deals the relay anew while the first members join a group, within some 0.1 s when a site starts.
constexpr time_span settledGroup = std::chrono::milliseconds(400);
constexpr std::uint32_t tickMilliseconds = 40;
constexpr time_span appendRetryInterval = std::chrono::milliseconds(100);
constexpr time_span stopQuestionInterval = std::chrono::milliseconds(300);
constexpr const char *groupName = "sycamoretray-assigner";
constexpr const char *zoneGroupPrefix = "sycamoretray-relay-";
constexpr const char *producerName = "assigner";

} // namespace

struct ownership_runner::impl : std::enable_shared_from_this<impl> {
    impl(serial_executor givenExecutor, ownership_runner_settings givenSettings, ownership_environment givenEnvironment)
        : executor(std::move(givenExecutor))
        , settings(std::move(givenSettings))
        , environment(std::move(givenEnvironment))
    {
    }

    struct queued_write {
        service_id service;
        write_record write;
        /** What is appended; an append that is repeated has to be the same. */
        std::vector<keyed_value> records;
    };

    serial_executor executor;
    ownership_runner_settings settings;
    ownership_environment environment;
    leadership_machine leadership;
    std::map<service_id, std::unique_ptr<key_assigner>> assigners;
    bool stopped = false;
    monotonic_time started{};
    std::optional<relay_reserve> reserve;
    /** Chooses the relay of the zone. */
    std::unique_ptr<group_membership> zoneGroup;
    /** Chooses the assigner; set while this instance is the relay of its zone. */
    std::unique_ptr<group_membership> assignerGroup;
    bool announcing = false;
    std::uint64_t epoch = 0;
    /** Highest epoch that any instance is known to have used. */
    std::uint64_t highestEpoch = 0;
    std::uint64_t nextSequence = 0;
    log_offset claimEnd;
    /** The assigner before this one. */
    network_address earlier;
    bool earlierStopped = true;
    monotonic_time nextStopQuestion{};
    std::deque<queued_write> writes;
    ownership_record_writer recordWriter;
    bool writing = false;
    monotonic_time nextWrite{};

    std::uint64_t generation() const
    {
        return assignerGroup ? assignerGroup->generation() : 0;
    }

    bool leads() const
    {
        return leadership.phase() == leadership_phase::leading;
    }

    // --- membership ---

    void tick()
    {
        const monotonic_time now = steadyNow();
        const bool takesPart = reserve->takesPart({ environment.feeds.relays().contains(settings.zone), environment.relayFailing() }, now);
        if (!zoneGroup && takesPart) {
            joinZone();
        }
        if (zoneGroup && !zoneGroup->leads() && !assignerGroup && !takesPart) {
            logEvent("reserve_dismissed", { { "zone", settings.zone.value() } });
            zoneGroup->leave();
            zoneGroup.reset();
        }
        if (leadership.phase() == leadership_phase::claiming) {
            finishClaim();
        }
        if (leads()) {
            askEarlierToStop(now);
            act();
        }
    }

    void joinZone()
    {
        const std::string group = zoneGroupPrefix + settings.zone.value();
        zoneGroup = std::make_unique<group_membership>(
            environment.store,
            executor,
            group_settings{ group, settings.incarnation, platform::ownershipTopic, settings.memberTimeToLive * zoneTimeToLiveFactor },
            [this] {
                zoneAnswered();
            });
        zoneGroup->start();
    }

    /** Instances that relay the store to their zone are the ones among which the assigner is chosen. */
    void zoneAnswered()
    {
        if (zoneGroup->leads() && !assignerGroup) {
            logEvent("relay_started", { { "zone", settings.zone.value() } });
            assignerGroup = std::make_unique<group_membership>(
                environment.store, executor, group_settings{ groupName, settings.incarnation, platform::ownershipTopic, settings.memberTimeToLive }, [this] {
                    assignerAnswered();
                });
            assignerGroup->start();
        } else if (!zoneGroup->leads() && assignerGroup) {
            logEvent("relay_stopped", { { "zone", settings.zone.value() } });
            process(leadership_event::partition_taken);
            assignerGroup->leave();
            assignerGroup.reset();
        }
        announceRelay();
        environment.storeAnswered();
    }

    void assignerAnswered()
    {
        process(assignerGroup->leads() ? leadership_event::partition_dealt : leadership_event::partition_taken);
    }

    /** Writes that this instance is the relay of its zone, unless the record says so already. */
    void announceRelay()
    {
        const auto known = environment.feeds.relays().find(settings.zone);
        const bool announced = known != environment.feeds.relays().end() && known->second == settings.internalAddress;
        if (steadyNow() - started < settledGroup) {
            return;
        }
        if (!zoneGroup->leads() || announced || announcing || !environment.feeds.isListed()) {
            return;
        }
        announcing = true;
        environment.store.append(platform::ownershipTopic,
                                 { { relayKey(settings.zone), settings.internalAddress.value() } },
                                 std::nullopt,
                                 [weak = weak_from_this()](const append_reply &) {
                                     // Whatever the outcome: the record is read back, or written again after the next join.
                                     if (const auto self = weak.lock()) {
                                         self->announcing = false;
                                     }
                                 });
    }

    bool isRelay(bool toRelay) const
    {
        const monotonic_time answered = assignerGroup ? std::max(zoneGroup->lastAnswer(), assignerGroup->lastAnswer()) : zoneGroup->lastAnswer();
        return zoneGroup->leads() && steadyNow() - answered < (toRelay ? storeSilenceForRelays : storeSilence) && !environment.feeds.isLost();
    }

    // --- leadership ---

    void process(leadership_event event)
    {
        if (!leadership.process(event)) {
            return;
        }
        switch (leadership.phase()) {
        case leadership_phase::following:
            logEvent("assigner_stopped", { { "epoch", std::to_string(epoch) }, { "generation", std::to_string(generation()) } });
            assigners.clear();
            writes.clear();
            writing = false;
            recordWriter.forgetAll();
            break;
        case leadership_phase::claiming:
            claim();
            break;
        case leadership_phase::leading:
            lead();
            break;
        }
    }

    void claim()
    {
        highestEpoch = std::max({ highestEpoch, epoch, generation() });
        for (const auto &[service, record] : environment.feeds.ownership().records()) {
            highestEpoch = std::max(highestEpoch, record.epoch);
        }
        epoch = ++highestEpoch;
        claimEnd = log_offset(std::numeric_limits<std::uint64_t>::max());
        logEvent("assigner_claims", { { "epoch", std::to_string(epoch) }, { "generation", std::to_string(generation()) } });
        environment.store.append(platform::ownershipTopic,
                                 {},
                                 producer_position{ producerName, epoch, std::nullopt },
                                 [weak = weak_from_this(), claimed = epoch](const append_reply &reply) {
                                     const auto self = weak.lock();
                                     if (self && !self->stopped && self->epoch == claimed) {
                                         self->claimed(reply);
                                     }
                                 });
    }

    void claimed(const append_reply &reply)
    {
        if (leadership.phase() != leadership_phase::claiming) {
            return;
        }
        if (reply.result != store_result::ok) {
            // The next join starts another claim.
            process(leadership_event::fenced);
            return;
        }
        nextSequence = 0;
        claimEnd = reply.end;
        finishClaim();
    }

    /** Takes over once all records of earlier epochs are known. */
    void finishClaim()
    {
        if (environment.feeds.isComplete() && environment.feeds.ownershipPosition() >= claimEnd) {
            process(leadership_event::epoch_set);
        }
    }

    void lead()
    {
        logEvent("assigner_started", { { "epoch", std::to_string(epoch) } });
        earlier = network_address();
        earlierStopped = true;
        for (const auto &[service, record] : environment.feeds.ownership().records()) {
            if (!record.resigned && !(record.assigner == settings.internalAddress)) {
                earlier = record.assigner;
                earlierStopped = false;
            }
        }
        nextStopQuestion = {};
        directoryChanged();
    }

    void askEarlierToStop(monotonic_time now)
    {
        if (earlierStopped || now < nextStopQuestion) {
            return;
        }
        nextStopQuestion = now + stopQuestionInterval;
        environment.askToStop(earlier, epoch, [weak = weak_from_this(), asked = epoch](bool answer) {
            const auto self = weak.lock();
            if (!answer || !self || self->stopped || self->epoch != asked || self->earlierStopped) {
                return;
            }
            self->earlierStopped = true;
            logEvent("earlier_assigner_stopped", { { "assigner", self->earlier.value() } });
            for (const auto &[service, assigner] : self->assigners) {
                assigner->earlierStopped(steadyNow());
            }
        });
    }

    // --- assigners ---

    void directoryChanged()
    {
        if (!leads() || !environment.feeds.routes()) {
            return;
        }
        const monotonic_time now = steadyNow();
        for (const auto &[service, definition] : environment.feeds.routes()->services()) {
            if (definition.dividedByKey) {
                assignerOf(service, now).setEndpoints(endpointsOf(service), now);
            }
        }
        act();
    }

    key_assigner &assignerOf(const service_id &service, monotonic_time now)
    {
        std::unique_ptr<key_assigner> &assigner = assigners[service];
        if (!assigner) {
            assigner_settings rules;
            rules.longestGrant = settings.longestGrant;
            assigner = std::make_unique<key_assigner>(service, rules);
            const ownership_record *record = environment.feeds.ownership().record(service);
            assigner->start(record != nullptr ? std::optional(*record) : std::nullopt,
                            epoch,
                            settings.internalAddress,
                            earlierStopped ? time_span::zero() : rules.unconfirmedValidity,
                            now);
        }
        return *assigner;
    }

    std::vector<listed_endpoint> endpointsOf(const service_id &service) const
    {
        std::vector<listed_endpoint> result;
        for (const auto &[id, endpoint] : environment.feeds.directory().endpoints()) {
            if (endpoint.entry.service == service) {
                result.push_back(endpoint);
            }
        }
        return result;
    }

    void act()
    {
        const monotonic_time now = steadyNow();
        if (!assignerGroup || now - assignerGroup->leadConfirmed() > assigner_settings().unconfirmedValidity) {
            return;
        }
        // Within its time to live, the store has not given the membership to another instance for silence.
        const bool mayDecide = now - assignerGroup->leadConfirmed() < settings.memberTimeToLive;
        for (const auto &entry : assigners) {
            for (const assigner_action &action : entry.second->act(mayDecide, now)) {
                std::visit(
                    [&](const auto &each) {
                        perform(entry.first, each);
                    },
                    action);
            }
        }
        writeNext();
    }

    order_callback orderCallback(const service_id &service)
    {
        return [weak = weak_from_this(), service, sentIn = epoch](order_id order, order_outcome outcome, std::string handover) {
            const auto self = weak.lock();
            if (!self || self->stopped || self->epoch != sentIn || !self->leads()) {
                return;
            }
            const auto found = self->assigners.find(service);
            if (found != self->assigners.end()) {
                found->second->orderDone(order, outcome, std::move(handover), steadyNow());
                self->act();
            }
        };
    }

    void perform(const service_id &service, const send_grant &action)
    {
        environment.endpoints.send(action, orderCallback(service));
    }

    void perform(const service_id &service, const send_release &action)
    {
        environment.endpoints.send(action, orderCallback(service));
    }

    void perform(const service_id &service, const probe_endpoint &action)
    {
        const service_definition *definition = environment.feeds.routes()->service(service);
        environment.endpoints.send(action, definition != nullptr ? definition->healthPath : "/", orderCallback(service));
    }

    static void perform(const service_id & /*service*/, const note_decision &action)
    {
        logEvent(action.event, action.fields);
    }

    void perform(const service_id &service, const write_record &action)
    {
        writes.push_back({ service, action, {} });
    }

    // --- writing ---

    void writeNext()
    {
        if (writing || writes.empty() || steadyNow() < nextWrite) {
            return;
        }
        writing = true;
        queued_write &next = writes.front();
        if (next.records.empty()) {
            next.records = recordWriter.changes(next.write.record);
        }
        environment.store.append(platform::ownershipTopic,
                                 next.records,
                                 producer_position{ producerName, epoch, nextSequence },
                                 [weak = weak_from_this(), sentIn = epoch](const append_reply &reply) {
                                     const auto self = weak.lock();
                                     if (self && !self->stopped && self->epoch == sentIn && self->leads()) {
                                         self->written(reply);
                                     }
                                 });
    }

    void written(const append_reply &reply)
    {
        writing = false;
        switch (reply.result) {
        case store_result::ok:
            finishWrite(true);
            break;
        case store_result::unknown:
            // The same append is repeated: the store executes it once at most.
            nextWrite = steadyNow() + appendRetryInterval / 2;
            break;
        case store_result::fenced:
        case store_result::out_of_sequence:
            logEvent(event_severity::warning, "assigner_superseded", { { "epoch", std::to_string(epoch) } });
            process(leadership_event::fenced);
            return;
        case store_result::unavailable:
            nextWrite = steadyNow() + appendRetryInterval;
            break;
        case store_result::expired:
        case store_result::rejected:
            logEvent(event_severity::error, "ownership_record_rejected", { { "service", writes.front().service.value() } });
            nextWrite = steadyNow() + appendRetryInterval;
            break;
        }
        act();
    }

    void finishWrite(bool success)
    {
        const queued_write done = std::move(writes.front());
        writes.pop_front();
        ++nextSequence;
        if (success) {
            recordWriter.written(done.write.record);
        }
        const auto found = assigners.find(done.service);
        if (found != assigners.end()) {
            found->second->recordWritten(done.write.revision, success, steadyNow());
        }
        environment.feeds.applyOwnership(done.write.record);
    }

    // --- end ---

    void leave()
    {
        if (std::exchange(stopped, true)) {
            return;
        }
        if (leads() && writes.empty()) {
            // A successor need not wait for grants of a resigned assigner.
            for (const auto &[service, assigner] : assigners) {
                environment.store.append(platform::ownershipTopic,
                                         recordWriter.changes(assigner->resignation()),
                                         producer_position{ producerName, epoch, nextSequence++ },
                                         [](const append_reply &) {});
            }
        }
        assigners.clear();
        if (zoneGroup) {
            zoneGroup->leave();
        }
        if (assignerGroup) {
            assignerGroup->leave();
        }
        logEvent("group_left", { { "epoch", std::to_string(epoch) } });
    }
};

ownership_runner::ownership_runner(serial_executor executor, ownership_runner_settings settings, ownership_environment environment)
    : d(std::make_shared<impl>(std::move(executor), std::move(settings), std::move(environment)))
{
}

ownership_runner::~ownership_runner()
{
    d->stopped = true;
}

void ownership_runner::start()
{
    d->started = steadyNow();
    d->reserve.emplace(d->settings.instance, d->settings.processorShare, d->started);
    d->executor.repeat(tickMilliseconds, [weak = d->weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->stopped) {
            return false;
        }
        self->tick();
        return true;
    });
}

void ownership_runner::leave()
{
    d->leave();
}

void ownership_runner::directoryChanged()
{
    d->directoryChanged();
}

bool ownership_runner::addLoad(const load_report &report)
{
    const auto found = d->assigners.find(report.service);
    if (found == d->assigners.end()) {
        return false;
    }
    found->second->addLoad(report, steadyNow());
    return true;
}

bool ownership_runner::stopBefore(std::uint64_t epoch)
{
    if (d->epoch >= epoch) {
        return false;
    }
    d->highestEpoch = std::max(d->highestEpoch, epoch);
    d->process(leadership_event::fenced);
    return true;
}

bool ownership_runner::isRelay(bool toRelay) const
{
    return d->zoneGroup && d->isRelay(toRelay);
}

bool ownership_runner::leads() const
{
    return d->leads();
}

bool ownership_runner::leadsZone() const
{
    return d->zoneGroup && d->zoneGroup->leads();
}

bool ownership_runner::storeAnswers() const
{
    return !d->zoneGroup || d->zoneGroup->lastAnswer() == monotonic_time{} || steadyNow() - d->zoneGroup->lastAnswer() < storeSilence;
}

std::string ownership_runner::dump() const
{
    nlohmann::json services = nlohmann::json::object();
    for (const auto &[service, assigner] : d->assigners) {
        nlohmann::json ranges = nlohmann::json::array();
        for (const key_assignment &each : assigner->current().assignments) {
            ranges.push_back({ { "first", each.keys.first },
                               { "last", each.keys.last },
                               { "owner", each.owner.endpoint.value() },
                               { "token", each.token.value() },
                               { "settled", each.settled },
                               { "other_holders", each.otherHolders.size() } });
        }
        services[service.value()] = std::move(ranges);
    }
    const nlohmann::json document = {
        { "leads", d->leads() }, { "epoch", d->epoch }, { "generation", d->generation() }, { "relay", isRelay(false) }, { "services", std::move(services) }
    };
    return document.dump(1);
}

} // namespace sycamoretray
