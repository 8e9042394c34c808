#include "sycamoretrayd/gateway/ownership_runner.h"

#include "documents/json_text.h"
#include "executor/steady_time.h"
#include "key_ownership/assigner_candidacy.h"
#include "key_ownership/assigner_epoch.h"
#include "key_ownership/assigner_watch.h"
#include "key_ownership/current_assigner.h"
#include "key_ownership/earlier_assigners.h"
#include "key_ownership/key_assigner.h"
#include "key_ownership/leadership_machine.h"
#include "key_ownership/path_evidence.h"
#include "metadata_store/relay_standby.h"
#include "observability/event_log.h"
#include "platform/topics.h"
#include "sycamoretrayd/gateway/assigner_reach_log.h"
#include "sycamoretrayd/gateway/group_membership.h"
#include "sycamoretrayd/gateway/ownership_appender.h"
#include "sycamoretrayd/gateway/relay_record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace sycamoretray
{

namespace
{

// Instances read the store directly while their relay is lost, so a lost relay need not be detected as fast as a lost assigner.
constexpr int zoneMembershipTimeToLiveFactor = 2;
// A relay that had no reply from the store for this time may be out of date.
constexpr time_span relayDataMaxAge = std::chrono::milliseconds(1600);
// Shorter for reads by other relays, whose readers add their own delay. Relays send a join every 0.33 s at least.
constexpr time_span relayDataMaxAgeForRelays = std::chrono::milliseconds(800);
// The store reassigns the relay while the first members join the group, which takes about 0.1 s when a site starts.
constexpr time_span groupFormationTime = std::chrono::milliseconds(400);
constexpr int relayJoinsPerTimeToLive = 3;
constexpr std::uint32_t tickMilliseconds = 40;
constexpr time_span pathCheckInterval = std::chrono::milliseconds(250);
constexpr time_span reachInterval = std::chrono::milliseconds(200);
constexpr time_span stopRequestInterval = std::chrono::milliseconds(300);
constexpr const char *groupName = "sycamoretray-assigner";
constexpr const char *zoneGroupPrefix = "sycamoretray-relay-";

} // namespace

struct ownership_runner::impl : std::enable_shared_from_this<impl> {
    impl(serial_executor givenExecutor, ownership_runner_settings givenSettings, ownership_environment givenEnvironment)
        : executor(std::move(givenExecutor))
        , settings(std::move(givenSettings))
        , environment(std::move(givenEnvironment))
        , candidacy(settings.instance, isRelayCandidate(settings.processorShare))
        , assignerWatch(settings.instance)
    {
    }

    serial_executor executor;
    ownership_runner_settings settings;
    ownership_environment environment;
    leadership_machine leadership;
    std::map<service_id, std::unique_ptr<key_assigner>> assigners;
    bool stopped = false;
    monotonic_time startedAt{};
    std::optional<relay_standby> standby;
    assigner_candidacy candidacy;
    assigner_watch assignerWatch;
    /** This instance was the relay of its zone at the last join of its group. */
    bool relaying = false;
    /** This instance has joined the election outside the regular times, if it takes part, since nobody assigns. */
    bool joinedAfterResignation = false;
    /** Group that elects the relay of the zone. */
    std::unique_ptr<group_membership> zoneGroup;
    /** Group that elects the assigner; set while this instance takes part in the election. */
    std::unique_ptr<group_membership> assignerGroup;
    bool announcementPending = false;
    /** Era of the store in which this instance announced itself as the relay. */
    std::optional<store_era> announcedIn;
    std::uint64_t epoch = 0;
    /** Highest epoch known to be used by any instance. */
    std::uint64_t highestEpoch = 0;
    topic_position claimEnd;
    /** Known since this process last became the assigner. */
    std::optional<earlier_assigners> earlierAssigners;
    monotonic_time nextStopRequest{};
    /** Set while this instance is the assigner. */
    std::unique_ptr<ownership_appender> appender;
    path_evidence pathEvidence;
    monotonic_time nextPathCheck{};
    /** Last endpoint that was asked because the path was doubtful. */
    endpoint_id checkedEndpoint;
    assigner_reach_log reachLog;
    monotonic_time nextReach{};

    std::uint64_t generation() const
    {
        return assignerGroup ? assignerGroup->generation() : 0;
    }

    bool isLeader() const
    {
        return leadership.phase() == leadership_phase::leading;
    }

    // --- membership ---

    void tick()
    {
        const monotonic_time now = steadyNow();
        watchAssigner(now);
        updateCandidacy(now);
        const bool participates = standby->participates({ environment.feeds.relays().contains(settings.zone), environment.relayFailureDuration() }, now);
        if (!zoneGroup && participates) {
            joinZoneGroup();
        }
        if (zoneGroup && !zoneGroup->isLeader() && !assignerGroup && !participates) {
            logEvent("reserve_dismissed", { { "zone", settings.zone.value() } });
            zoneGroup->leave();
            zoneGroup.reset();
        }
        joinAsOnlyMember(now);
        if (leadership.phase() == leadership_phase::claiming) {
            finishClaim();
        }
        if (isLeader()) {
            requestEarlierAssignersStop(now);
            checkPath(now);
            performActions();
        }
        updateReach(now);
    }

    void updateReach(monotonic_time now)
    {
        if (now < nextReach) {
            return;
        }
        nextReach = now + reachInterval;
        std::map<service_id, endpoint_reach> services;
        for (const auto &[service, assigner] : assigners) {
            services[service] = assigner->reach(now);
        }
        reachLog.update(services, epoch, now);
    }

    /** Returns whether there are keys to assign. */
    bool needsAssigner() const
    {
        const auto &routes = environment.feeds.routes();
        const auto isDivided = [](const auto &item) {
            return item.second.dividedByKey;
        };
        return routes && std::any_of(routes->services().begin(), routes->services().end(), isDivided);
    }

    /** Returns the instance that assigns keys according to the records, unless it is this one. */
    std::optional<recorded_assigner> otherAssigner() const
    {
        const ownership_view &ownership = environment.feeds.ownership();
        const auto assigner = currentAssigner(ownership);
        if (!assigner || *assigner == settings.internalAddress) {
            return std::nullopt;
        }
        recorded_assigner result{ *assigner, 0 };
        for (const auto &[service, record] : ownership.records()) {
            result.epoch = std::max(result.epoch, record.epoch);
        }
        return result;
    }

    std::size_t instanceCount() const
    {
        return std::max<std::size_t>(1, candidateCount(environment.feeds.instances()));
    }

    /** Asks the assigner from time to time whether it runs. An instance that cannot replace it need not know. */
    void watchAssigner(monotonic_time now)
    {
        const auto assigner = otherAssigner();
        const bool relevant = needsAssigner() && !isLeader() && !candidacy.isIsolated();
        assignerWatch.watch(relevant ? assigner : std::nullopt, instanceCount(), now);
        if (!assignerWatch.takeDueQuestion(now)) {
            return;
        }
        // An instance that assigns under this epoch, or a later one, refuses.
        environment.requestAssignerStop(assigner->address, assigner->epoch, [weak = weak_from_this(), asked = *assigner](assigner_stop_answer answer) {
            if (const auto self = weak.lock()) {
                self->assignerWatch.answered(asked, answer, steadyNow());
            }
        });
    }

    /** Returns whether an instance assigns keys, or no keys were ever assigned, or there are none. */
    bool isAssigned(monotonic_time now)
    {
        if (isLeader() || environment.feeds.ownership().records().empty() || !needsAssigner()) {
            return true;
        }
        return otherAssigner() && !assignerWatch.isLost(now);
    }

    /** Joins or leaves the election of the assigner. */
    void updateCandidacy(monotonic_time now)
    {
        const bool participates = candidacy.participates({ isAssigned(now), isLeader(), relaying, instanceCount() }, now);
        if (participates && !assignerGroup) {
            joinAssignerGroup();
        } else if (!participates && assignerGroup) {
            leaveAssignerGroup();
        }
        // The first member that joins after a resignation is the successor.
        const bool unassigned = candidacy.unassignedFor(now) > time_span::zero();
        if (unassigned && !joinedAfterResignation && assignerGroup && !assignerGroup->isLeader()) {
            assignerGroup->joinNow();
        }
        joinedAfterResignation = unassigned;
    }

    void joinZoneGroup()
    {
        const std::string group = zoneGroupPrefix + settings.zone.value();
        zoneGroup = std::make_unique<group_membership>(
            environment.store,
            executor,
            group_settings{ group, settings.incarnation, platform::ownershipTopic, settings.memberTimeToLive * zoneMembershipTimeToLiveFactor },
            [this] {
                zoneGroupAnswered();
            });
        zoneGroup->start();
    }

    /** A relay that takes no part in the election of the assigner joins its zone's group as often as it would join the other. */
    void joinAsOnlyMember(monotonic_time now)
    {
        if (relaying && zoneGroup && !assignerGroup && now - zoneGroup->lastJoinAt() >= settings.memberTimeToLive / relayJoinsPerTimeToLive) {
            zoneGroup->joinNow();
        }
    }

    void zoneGroupAnswered()
    {
        const bool leads = zoneGroup->isLeader();
        if (leads && !relaying) {
            logEvent("relay_started", { { "zone", settings.zone.value() } });
        } else if (!leads && relaying) {
            logEvent("relay_stopped", { { "zone", settings.zone.value() } });
        }
        relaying = leads;
        updateCandidacy(steadyNow());
        announceRelay();
        environment.storeAnswered();
    }

    void joinAssignerGroup()
    {
        if (!relaying) {
            logEvent("assigner_stand_in", { { "zone", settings.zone.value() } });
        }
        assignerGroup = std::make_unique<group_membership>(
            environment.store, executor, group_settings{ groupName, settings.incarnation, platform::ownershipTopic, settings.memberTimeToLive }, [this] {
                assignerGroupAnswered();
            });
        assignerGroup->start();
    }

    void leaveAssignerGroup()
    {
        resign();
        process(leadership_event::partition_revoked);
        assignerGroup->leave();
        assignerGroup.reset();
    }

    void assignerGroupAnswered()
    {
        if (assignerGroup->isLeader()) {
            process(leadership_event::partition_assigned);
        } else {
            resign();
            process(leadership_event::partition_revoked);
        }
    }

    /** Publishes this instance as the relay of its zone, unless it is published already. */
    void announceRelay()
    {
        const auto known = environment.feeds.relays().find(settings.zone);
        const bool announced = known != environment.feeds.relays().end() && known->second == settings.internalAddress && announcedIn == environment.feeds.era();
        if (steadyNow() - startedAt < groupFormationTime) {
            return;
        }
        if (!zoneGroup->isLeader() || announced || announcementPending || !environment.feeds.isListed()) {
            return;
        }
        announcementPending = true;
        environment.store.append(platform::ownershipTopic,
                                 { { relayKey(settings.zone), settings.internalAddress.value() } },
                                 std::nullopt,
                                 [weak = weak_from_this()](const append_reply &reply) {
                                     const auto self = weak.lock();
                                     if (!self) {
                                         return;
                                     }
                                     // A record that was not written is written again after the next join.
                                     self->announcementPending = false;
                                     if (reply.result == store_result::ok) {
                                         self->announcedIn = reply.end.era;
                                     }
                                 });
    }

    bool isCurrentRelay(bool forRelay) const
    {
        const monotonic_time answered = assignerGroup ? std::max(zoneGroup->lastAnswerAt(), assignerGroup->lastAnswerAt()) : zoneGroup->lastAnswerAt();
        return zoneGroup->isLeader() && steadyNow() - answered < (forRelay ? relayDataMaxAgeForRelays : relayDataMaxAge) && !environment.feeds.isReadFailing();
    }

    void storeRestored()
    {
        if (stopped) {
            return;
        }
        logEvent("records_written_again", { { "era", std::to_string(environment.feeds.era().value()) }, { "leads", isLeader() ? "true" : "false" } });
        // The next confirmed join starts a claim with an epoch that is above the lost ones, after which all ownership records are written.
        process(leadership_event::fenced);
        if (zoneGroup) {
            announceRelay();
        }
    }

    // --- leadership ---

    void process(leadership_event event)
    {
        if (!leadership.process(event)) {
            return;
        }
        switch (leadership.phase()) {
        case leadership_phase::following:
            logEvent("assigner_stopped",
                     { { "epoch", std::to_string(epoch) },
                       { "generation", std::to_string(generation()) },
                       { "isolated", candidacy.isIsolated() ? "true" : "false" } });
            assigners.clear();
            environment.endpoints.closeGrantConnections();
            appender.reset();
            break;
        case leadership_phase::claiming:
            claim();
            break;
        case leadership_phase::leading:
            startLeading();
            break;
        }
    }

    void claim()
    {
        highestEpoch = std::max({ highestEpoch, epoch, generation() });
        for (const auto &[service, record] : environment.feeds.ownership().records()) {
            highestEpoch = std::max(highestEpoch, record.epoch);
        }
        highestEpoch = std::max(highestEpoch + 1, firstEpochOf(environment.feeds.era()));
        epoch = highestEpoch;
        claimEnd = { store_era(std::numeric_limits<std::uint64_t>::max()), {} };
        logEvent("assigner_claims", { { "epoch", std::to_string(epoch) }, { "generation", std::to_string(generation()) } });
        environment.store.append(platform::ownershipTopic,
                                 {},
                                 producer_position{ assignerProducer, epoch, std::nullopt },
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
            // The next confirmed join starts another claim.
            process(leadership_event::fenced);
            return;
        }
        claimEnd = reply.end;
        finishClaim();
    }

    /** Starts to lead once all records of earlier epochs are known. */
    void finishClaim()
    {
        if (environment.feeds.isComplete() && environment.feeds.ownershipPosition() >= claimEnd) {
            process(leadership_event::epoch_set);
        }
    }

    void startLeading()
    {
        logEvent("assigner_started", { { "epoch", std::to_string(epoch) } });
        appender = std::make_unique<ownership_appender>(environment.store, executor, epoch, appendObserver());
        pathEvidence = {};
        earlierAssigners.emplace(assigner_settings().unconfirmedLeadershipLimit);
        earlierAssigners->takeOver(environment.feeds.ownership(), settings.internalAddress, steadyNow());
        logEarlierAssigners();
        nextStopRequest = {};
        directoryChanged();
    }

    void logEarlierAssigners() const
    {
        std::string addresses;
        for (const network_address &each : earlierAssigners->recorded(steadyNow())) {
            addresses += (addresses.empty() ? "" : ",") + (each.value().empty() ? "unknown" : each.value());
        }
        logEvent("earlier_assigners", { { "epoch", std::to_string(epoch) }, { "assigners", addresses } });
    }

    /** Asks the earlier assigners that may still send grants to stop, and records which of them remain. */
    void requestEarlierAssignersStop(monotonic_time now)
    {
        for (const auto &[service, assigner] : assigners) {
            assigner->setEarlierAssigners(earlierAssigners->recorded(now));
        }
        // Until then, only an earlier assigner can renew the grants.
        const bool recorded = std::all_of(assigners.begin(), assigners.end(), [](const auto &item) {
            return item.second->isRecorded();
        });
        if (now < nextStopRequest || !recorded) {
            return;
        }
        nextStopRequest = now + stopRequestInterval;
        for (const network_address &each : earlierAssigners->known(now)) {
            environment.requestAssignerStop(each, epoch, [weak = weak_from_this(), assigner = each, asked = epoch](assigner_stop_answer answer) {
                const auto self = weak.lock();
                if (self && !self->stopped && self->epoch == asked && self->isLeader()) {
                    self->earlierAssignerAnswered(assigner, answer);
                }
            });
        }
    }

    void earlierAssignerAnswered(const network_address &assigner, assigner_stop_answer answer)
    {
        const bool stoppedSending = answer == assigner_stop_answer::stopped || answer == assigner_stop_answer::itself_stopped;
        if (!stoppedSending || !earlierAssigners->remove(assigner)) {
            return;
        }
        logEvent("earlier_assigner_stopped", { { "assigner", assigner.value() } });
        const monotonic_time now = steadyNow();
        for (const auto &[service, each] : assigners) {
            each->setEarlierAssigners(earlierAssigners->recorded(now));
            if (!earlierAssigners->mayBeSending(now)) {
                each->previousAssignerStopped(now);
            }
        }
    }

    // --- assigners ---

    void directoryChanged()
    {
        if (!isLeader() || !environment.feeds.routes()) {
            return;
        }
        const monotonic_time now = steadyNow();
        for (const auto &[service, definition] : environment.feeds.routes()->services()) {
            if (definition.dividedByKey) {
                key_assigner &assigner = assignerOf(service, now);
                assigner.setColdRequestRate(definition.coldRequestRate, now);
                assigner.setEndpoints(endpointsOf(service), now);
            }
        }
        performActions();
    }

    key_assigner &assignerOf(const service_id &service, monotonic_time now)
    {
        std::unique_ptr<key_assigner> &assigner = assigners[service];
        if (!assigner) {
            assigner_settings rules;
            rules.longestGrant = settings.longestGrant;
            assigner = std::make_unique<key_assigner>(service, rules);
            const ownership_record *record = environment.feeds.ownership().record(service);
            assigner->start(record != nullptr ? std::optional(*record) : std::nullopt, epoch, settings.internalAddress, earlierAssigners->remaining(now), now);
            assigner->setEarlierAssigners(earlierAssigners->recorded(now));
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

    void performActions()
    {
        const monotonic_time now = steadyNow();
        if (!assignerGroup || now - assignerGroup->leadershipConfirmedAt() > assigner_settings().unconfirmedLeadershipLimit) {
            return;
        }
        // The store does not give the partition to another instance before the time to live of the last confirmation is over.
        const bool mayDecide = now - assignerGroup->leadershipConfirmedAt() < settings.memberTimeToLive;
        for (const auto &entry : assigners) {
            for (const assigner_action &action : entry.second->act(mayDecide, now)) {
                std::visit(
                    [&](const auto &each) {
                        perform(entry.first, each);
                    },
                    action);
            }
        }
        appender->advance();
    }

    /** Takes the outcome of an order as evidence about the path of this instance, which concerns all services. */
    void updatePathEvidence(const endpoint_id &endpoint, order_outcome outcome)
    {
        if (outcome == order_outcome::unanswered || outcome == order_outcome::unsent) {
            pathEvidence.unanswered(endpoint);
        } else if (outcome != order_outcome::connection_lost) {
            pathEvidence.answered();
        }
        for (const auto &[service, assigner] : assigners) {
            assigner->holdMoves(pathEvidence.isPathDoubtful());
        }
    }

    /**
     * Asks one endpoint while the path is doubtful. The endpoints that could answer an order may all be without keys, so that none is sent to
     * them.
     */
    void checkPath(monotonic_time now)
    {
        if (!pathEvidence.isPathDoubtful() || now < nextPathCheck) {
            return;
        }
        nextPathCheck = now + pathCheckInterval;
        const listed_endpoint *next = nextToCheck();
        const service_definition *definition = next == nullptr ? nullptr : environment.feeds.routes()->service(next->entry.service);
        if (definition == nullptr) {
            return;
        }
        const endpoint_incarnation &incarnation = next->entry.incarnation;
        checkedEndpoint = incarnation.endpoint;
        environment.endpoints.send(probe_endpoint{ order_id(), incarnation },
                                   definition->healthPath,
                                   [weak = weak_from_this(), endpoint = checkedEndpoint, sentIn = epoch](order_id /*order*/, const order_reply &reply) {
                                       const auto self = weak.lock();
                                       if (self && !self->stopped && self->epoch == sentIn && self->isLeader()) {
                                           self->updatePathEvidence(endpoint, reply.outcome);
                                       }
                                   });
    }

    /** Returns the endpoint to ask next among those that left no order unanswered; nullptr if there is none. */
    const listed_endpoint *nextToCheck() const
    {
        const listed_endpoint *first = nullptr;
        for (const auto &[id, endpoint] : environment.feeds.directory().endpoints()) {
            if (pathEvidence.isUnanswered(id)) {
                continue;
            }
            if (checkedEndpoint < id) {
                return &endpoint;
            }
            first = first == nullptr ? &endpoint : first;
        }
        return first;
    }

    order_callback orderCallback(const service_id &service, const endpoint_id &endpoint)
    {
        return [weak = weak_from_this(), service, endpoint, sentIn = epoch](order_id order, order_reply reply) {
            const auto self = weak.lock();
            if (!self || self->stopped || self->epoch != sentIn || !self->isLeader()) {
                return;
            }
            self->updatePathEvidence(endpoint, reply.outcome);
            const auto found = self->assigners.find(service);
            if (found != self->assigners.end()) {
                found->second->orderDone(order, std::move(reply), steadyNow());
                self->performActions();
            }
        };
    }

    void perform(const service_id &service, const send_grant &action)
    {
        environment.endpoints.send(action, orderCallback(service, action.endpoint.endpoint));
    }

    void perform(const service_id &service, const send_release &action)
    {
        environment.endpoints.send(action, orderCallback(service, action.endpoint.endpoint));
    }

    void perform(const service_id &service, const probe_endpoint &action)
    {
        const service_definition *definition = environment.feeds.routes()->service(service);
        environment.endpoints.send(action, definition != nullptr ? definition->healthPath : "/", orderCallback(service, action.endpoint.endpoint));
    }

    static void perform(const service_id & /*service*/, const log_decision &action)
    {
        logEvent(action.event, action.fields);
    }

    void perform(const service_id &service, const write_record &action)
    {
        appender->push(service, action);
    }

    // --- writing ---

    ownership_append_observer appendObserver()
    {
        // The appender calls nothing after its destruction, which comes before that of this object.
        return { [this](const service_id &service, const write_record &write) {
                    const auto found = assigners.find(service);
                    if (found != assigners.end()) {
                        found->second->recordWritten(write.revision, true, steadyNow());
                    }
                    environment.feeds.applyOwnership(write.record);
                },
                 [this] {
                     logEvent(event_severity::warning, "assigner_superseded", { { "epoch", std::to_string(epoch) } });
                     process(leadership_event::fenced);
                 },
                 [this] {
                     performActions();
                 } };
    }

    // --- shutdown ---

    /**
     * Stops sending orders for good under the present epoch. A successor does not wait for the grants of a resigned assigner to expire, unless an
     * earlier assigner may send some.
     */
    void resign()
    {
        if (!isLeader()) {
            return;
        }
        std::vector<ownership_record> resignations;
        for (const auto &[service, assigner] : assigners) {
            resignations.push_back(assigner->resignation());
        }
        assigners.clear();
        appender->resign(std::move(resignations));
    }

    void leave()
    {
        if (std::exchange(stopped, true)) {
            return;
        }
        if (assignerGroup) {
            leaveAssignerGroup();
        }
        if (zoneGroup) {
            zoneGroup->leave();
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
    d->startedAt = steadyNow();
    d->standby.emplace(d->settings.instance, d->settings.processorShare, d->startedAt);
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

void ownership_runner::setIsolated(bool isolated)
{
    d->candidacy.setIsolated(isolated, steadyNow());
    if (!d->stopped) {
        d->updateCandidacy(steadyNow());
    }
}

void ownership_runner::storeRestored()
{
    d->storeRestored();
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

assigner_stop_answer ownership_runner::stopAssigningBefore(std::uint64_t epoch)
{
    if (d->epoch >= epoch) {
        return assigner_stop_answer::refused;
    }
    d->highestEpoch = std::max(d->highestEpoch, epoch);
    d->process(leadership_event::fenced);
    const bool earlierStopped = d->earlierAssigners && !d->earlierAssigners->mayBeSending(steadyNow());
    return earlierStopped ? assigner_stop_answer::stopped : assigner_stop_answer::itself_stopped;
}

bool ownership_runner::isCurrentRelay(bool forRelay) const
{
    return d->zoneGroup && d->isCurrentRelay(forRelay);
}

bool ownership_runner::isLeader() const
{
    return d->isLeader();
}

bool ownership_runner::leadsZoneGroup() const
{
    return d->zoneGroup && d->zoneGroup->isLeader();
}

std::size_t ownership_runner::unresponsiveEndpoints() const
{
    return d->reachLog.unresponsiveEndpoints();
}

std::uint32_t ownership_runner::lapsedKeys() const
{
    return d->reachLog.lapsedKeys();
}

bool ownership_runner::isStoreAnswering() const
{
    return !d->zoneGroup || d->zoneGroup->lastAnswerAt() == monotonic_time{} || steadyNow() - d->zoneGroup->lastAnswerAt() < relayDataMaxAge;
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
    const nlohmann::json document = { { "leads", d->isLeader() },
                                      { "epoch", d->epoch },
                                      { "generation", d->generation() },
                                      { "relay", isCurrentRelay(false) },
                                      { "services", std::move(services) } };
    return toJsonText(document, 1);
}

} // namespace sycamoretray
