#include "controller/controller.h"

#include "controller/append_queue.h"
#include "controller/configuration_publisher.h"
#include "controller/controller_context.h"
#include "controller/evidence_tracker.h"
#include "controller/home_claims.h"
#include "controller/home_handover.h"
#include "controller/home_servers.h"
#include "controller/hot_key_mover.h"
#include "controller/log_follower.h"
#include "controller/membership.h"
#include "controller/peer_monitor.h"
#include "controller/rebalancer.h"
#include "controller/slot_mover.h"
#include "controller/snapshot_writer.h"
#include "controller/state_dump.h"

#include "control_state/routing_builder.h"
#include "records/record_builder.h"

#include <optional>

namespace sycamoretray
{

namespace
{

/** A longer gap between events means that this process was paused, and does not count as time in which others did not answer. */
constexpr time_span pauseThreshold = std::chrono::milliseconds(200);
/** Limit of the wait for the replay of instance_left at a stop; the process then stops without it. */
constexpr time_span leaveRecordTimeout = std::chrono::seconds(5);

} // namespace

struct controller::impl {
    explicit impl(controller_settings settings);

    void dispatch(const controller_event &event);
    void advance();
    void recordApplied(log_offset offset, const std::string &data, const apply_outcome &outcome);
    void leave();
    void updateCallerAcceptance();
    void publishRouting(std::vector<controller_action> &actions);

    void on(const tick & /*event*/)
    {
    }
    void on(const log_read_result &event);
    void on(const append_result &event);
    void on(const peer_received &event);
    void on(const instance_list_result &event);
    void on(const lease_reply &event);
    void on(const lease_failed &event);
    void on(const dispatch_idle &event);
    void on(const hot_key_report &event);
    void on(const publish_requested &event);
    void on(const drain_requested &event);
    void on(const confirmers_reset_requested &event);
    void on(const stop_requested &event);

    controller_context context;
    evidence_tracker evidence;
    append_queue queue;
    log_follower follower;
    peer_monitor peers;
    membership members;
    home_servers homes;
    home_claims claims;
    slot_mover mover;
    rebalancer balancer;
    home_handover handover;
    hot_key_mover hotKeys;
    configuration_publisher publisher;
    snapshot_writer snapshots;

    bool started = false;
    bool stateDirty = false;
    bool wasJoined = false;
    bool stopFinished = false;
    std::optional<std::uint64_t> leaveSequence;
    monotonic_time leaveSince;
    std::optional<accept_callers> callerAcceptance;
};

controller::impl::impl(controller_settings settings)
    : context(std::move(settings))
    , evidence(context)
    , queue(context)
    , follower(context,
               log_follower::callbacks{ [this](log_offset offset, const std::string &data, const apply_outcome &outcome) {
                                           recordApplied(offset, data, outcome);
                                       },
                                        [this](monotonic_time readStarted) {
                                            evidence.addLogRead(readStarted);
                                            queue.logEndReached(readStarted);
                                        },
                                        [this] {
                                            stateDirty = true;
                                            snapshots.snapshotLoaded();
                                            homes.stateChanged();
                                        } })
    , peers(context, evidence, follower)
    , members(context, evidence, peers, queue)
    , homes(lease_services{ context, evidence, peers, queue })
    , claims(context, evidence, peers, queue)
    , mover(context, homes, peers, queue)
    , balancer(context, homes, peers, mover, fewest_slots_policy())
    , handover(context, homes, peers, mover)
    , hotKeys(context, homes, mover)
    , publisher(context, peers, queue)
    , snapshots(context)
{
}

void controller::impl::recordApplied(log_offset offset, const std::string &data, const apply_outcome &outcome)
{
    stateDirty = stateDirty || outcome.verdict == record_verdict::applied;
    homes.stateChanged();
    if (outcome.record == nullptr || incarnation_id(outcome.record->author()) != context.self() || outcome.verdict == record_verdict::duplicate) {
        return;
    }
    const std::uint64_t sequence = outcome.record->sequence();
    const bool applied = outcome.verdict == record_verdict::applied;
    queue.ownRecordReplayed(sequence);
    members.ownRecordReplayed(sequence);
    claims.ownRecordReplayed(sequence);
    mover.ownRecordReplayed(sequence, offset, data, applied);
    publisher.ownRecordReplayed(sequence, offset, outcome);
    if (applied && (outcome.record->has_home_claimed() || outcome.record->has_server_lost())) {
        peers.sendRecordToAll(offset, data);
        peers.probeSoon();
    }
}

void controller::impl::on(const log_read_result &event)
{
    follower.handleResult(event);
}

void controller::impl::on(const append_result &event)
{
    if (!snapshots.handleResult(event)) {
        queue.handleResult(event);
    }
}

void controller::impl::on(const peer_received &event)
{
    pb::PeerMessage message;
    if (!message.ParseFromString(event.message)) {
        context.event("malformed_message", { { "from", event.from.value() } });
        return;
    }
    peers.messageReceived(event.from);
    if (message.has_probe()) {
        peers.handleProbe(event.from, message.probe());
    } else if (message.has_probe_reply()) {
        peers.handleProbeReply(event.from, message.probe_reply());
    } else if (message.has_handover_offer()) {
        claims.handleOffer(event.from, message.handover_offer());
    } else if (message.has_record_notice()) {
        const pb::LogEntry &entry = message.record_notice().entry();
        follower.applyRelayed({ log_entry{ log_offset(entry.offset()), entry.data() } });
    }
}

void controller::impl::on(const instance_list_result &event)
{
    members.handleList(event);
}

void controller::impl::on(const lease_reply &event)
{
    homes.handleReply(event);
}

void controller::impl::on(const lease_failed &event)
{
    homes.handleFailure(event);
}

void controller::impl::on(const dispatch_idle &event)
{
    mover.handleIdle(event);
    handover.handleIdle(event);
}

void controller::impl::on(const hot_key_report &event)
{
    hotKeys.handleReport(event);
}

void controller::impl::on(const publish_requested &event)
{
    publisher.publish(event);
}

void controller::impl::on(const drain_requested &event)
{
    publisher.drain(event);
}

void controller::impl::on(const confirmers_reset_requested &event)
{
    publisher.resetConfirmers(event);
}

void controller::impl::on(const stop_requested & /*event*/)
{
    if (!context.stopping) {
        context.stopping = true;
        peers.probeSoon();
        context.event("stop_requested", {});
    }
}

void controller::impl::leave()
{
    if (!context.stopping || stopFinished || !handover.mayLeave()) {
        return;
    }
    const instance_state *own = context.state.findInstance(context.self());
    if (own != nullptr && !own->hasLeft() && !leaveSequence) {
        homes.closeAll(dispatch_close_reason::stopping);
        leaveSequence = queue.add(instanceLeftRecord(context.self(), "stopped"));
        leaveSince = context.now;
    }
    if (own == nullptr || own->hasLeft() || context.now - leaveSince > leaveRecordTimeout) {
        stopFinished = true;
        context.addAfterRouting(stop_finished{});
    }
}

void controller::impl::updateCallerAcceptance()
{
    const bool stale = context.now - evidence.newest() > context.settings.timing.staleLimit;
    accept_callers next{ true, result_code::ok };
    if (context.stopping) {
        next = accept_callers{ false, result_code::instance_stopping };
    } else if (!context.joined() || !context.caughtUp || stale) {
        next = accept_callers{ false, result_code::configuration_stale };
    }
    if (!callerAcceptance || callerAcceptance->accept != next.accept || callerAcceptance->reason != next.reason) {
        callerAcceptance = next;
        context.addAfterRouting(next);
    }
}

void controller::impl::advance()
{
    if (context.joined()) {
        wasJoined = true;
    } else if (wasJoined && !context.stopping) {
        // Another instance declared this one left; the process must restart to join as a new incarnation.
        context.event("declared_left", {});
        context.stopping = true;
        homes.closeAll(dispatch_close_reason::home_lost);
    }
    follower.poll();
    peers.tick();
    members.tick();
    claims.tick();
    homes.tick();
    mover.tick();
    handover.tick();
    if (!context.stopping) {
        balancer.tick(handover.servers());
        hotKeys.tick(handover.servers());
    }
    homes.tick();
    publisher.tick();
    snapshots.tick(members.writesSharedRecords(), follower.earliest());
    leave();
    updateCallerAcceptance();
    queue.flush();
}

void controller::impl::publishRouting(std::vector<controller_action> &actions)
{
    if (stateDirty && context.caughtUp) {
        stateDirty = false;
        actions.emplace_back(routing_changed{ buildRoutingTable(context.state) });
    }
    for (controller_action &action : context.takeActionsAfterRouting()) {
        actions.push_back(std::move(action));
    }
}

controller::controller(controller_settings settings)
    : d(std::make_unique<impl>(std::move(settings)))
{
}

controller::~controller() = default;
controller::controller(controller &&) noexcept = default;
controller &controller::operator=(controller &&) noexcept = default;

std::vector<controller_action> controller::handle(const controller_event &event, monotonic_time now)
{
    const time_span gap = d->started ? now - d->context.now : time_span(0);
    d->started = true;
    d->context.now = now;
    if (gap > pauseThreshold) {
        d->peers.excludePause(gap);
        d->homes.excludePause(gap);
    }
    std::visit(
        [this](const auto &e) {
            d->on(e);
        },
        event);
    d->advance();
    std::vector<controller_action> actions = d->context.takeActions();
    d->publishRouting(actions);
    return actions;
}

std::string controller::dump(monotonic_time now) const
{
    dump_inputs inputs{ d->context, d->evidence, d->peers, d->homes, d->follower.reachable(), d->queue.size() };
    return dumpState(inputs, now);
}

std::string controller::stateDigest() const
{
    return hexText(d->context.state.digest());
}

log_offset controller::position() const
{
    return d->context.state.position();
}

const configuration_set &controller::configuration() const
{
    return d->context.state.configuration();
}

} // namespace sycamoretray
