#include "key_ownership/key_assigner.h"

#include "key_ownership/detail/assignment.h"
#include "key_ownership/detail/endpoint_contact.h"
#include "key_ownership/detail/holder_lapses.h"
#include "key_ownership/range_planner.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace sycamoretray
{

using detail::assignment;
using detail::clearing_holder;
using detail::held_grant;

namespace
{

enum class order_kind {
    grant,
    release,
    probe,
};

struct open_order {
    order_kind kind = order_kind::grant;
    /** Serial of the assignment; 0 if the order concerns no current one. */
    std::uint64_t serial = 0;
    endpoint_life life;
    monotonic_time sent;
    /** Of a grant. */
    time_span length{};
};

// Ranges per endpoint beyond which neighbours with one owner are joined, because each range is renewed by a call of its own.
constexpr std::size_t rangesPerEndpoint = 2;
constexpr std::size_t joinsPerPlan = 4;
// A renewal takes about 0.1 ms of a core.
constexpr double mostRenewalsPerSecond = 300;
// An assigner may have lengthened its grants a little since it wrote its last record.
constexpr time_span grantLengthSlack = std::chrono::milliseconds(500);
// Renewals are spread over this time, so that they do not hold up requests all at once.
constexpr std::uint64_t renewalSteps = 8;
constexpr time_span renewalStep = std::chrono::milliseconds(20);

std::string rangeText(key_range keys)
{
    return std::to_string(keys.first) + "-" + std::to_string(keys.last);
}

} // namespace

struct key_assigner::impl {
    impl(service_id givenService, assigner_settings givenSettings)
        : service(std::move(givenService))
        , settings(givenSettings)
        , contact(givenSettings.probeInterval)
    {
    }

    service_id service;
    assigner_settings settings;
    std::uint64_t epoch = 0;
    network_address assigner;
    std::uint64_t nextToken = 1;
    std::uint64_t lastSerial = 0;
    std::uint64_t lastOrder = 0;
    /** Counts the changes of the record. */
    std::uint64_t revision = 0;
    std::uint64_t written = 0;
    std::optional<std::uint64_t> writeInFlight;
    monotonic_time nextWrite{};
    std::vector<assignment> assignments;
    std::vector<listed_endpoint> endpoints;
    std::map<network_address, endpoint_life> newestAtAddress;
    std::map<endpoint_id, endpoint_life> newestOfId;
    monotonic_time endpointsGrewAt{};
    monotonic_time balanceFrom{};
    monotonic_time nextPlan{};
    detail::holder_lapses lapses;
    /** Longest grant that an earlier assigner may have sent. */
    time_span inheritedLength{};
    detail::endpoint_contact contact;
    /** Lives that have ended, and the life that has their address now. */
    std::map<endpoint_life, endpoint_life> endedLives;
    std::map<order_id, open_order> orders;
    std::map<endpoint_life, std::uint32_t> grantsInFlight;
    key_load load;
    std::vector<assigner_action> actions;

    // --- endpoints ---

    const listed_endpoint *listed(const endpoint_life &life) const
    {
        const auto found = std::find_if(endpoints.begin(), endpoints.end(), [&](const listed_endpoint &endpoint) {
            return endpoint.entry.life == life;
        });
        return found == endpoints.end() ? nullptr : &*found;
    }

    bool isUsable(const listed_endpoint &endpoint) const
    {
        const endpoint_life &life = endpoint.entry.life;
        return !endpoint.entry.draining && !endpoint.missingUntil && !contact.isLost(life) && !endedLives.contains(life);
    }

    /** Most endpoints out of contact at once: this instance is cut off, rather than all of them lost. */
    bool isCutOff() const
    {
        const auto lost = static_cast<std::size_t>(std::count_if(endpoints.begin(), endpoints.end(), [&](const listed_endpoint &endpoint) {
            return contact.isLost(endpoint.entry.life);
        }));
        return lost * 2 > endpoints.size();
    }

    /** Returns the later process at the same address or under the same id, which shows that @p life has ended; else nullptr. */
    const endpoint_life *successorOf(const endpoint_life &life) const
    {
        const auto byAddress = newestAtAddress.find(life.address);
        if (byAddress != newestAtAddress.end() && byAddress->second.startedAtMs > life.startedAtMs) {
            return &byAddress->second;
        }
        const auto byId = newestOfId.find(life.endpoint);
        return byId != newestOfId.end() && byId->second.startedAtMs > life.startedAtMs ? &byId->second : nullptr;
    }

    void indexEndpoints()
    {
        newestAtAddress.clear();
        newestOfId.clear();
        for (const listed_endpoint &endpoint : endpoints) {
            const endpoint_life &life = endpoint.entry.life;
            endpoint_life &atAddress = newestAtAddress[life.address];
            atAddress = life.startedAtMs > atAddress.startedAtMs ? life : atAddress;
            newestOfId[life.endpoint] = life;
        }
    }

    void noteEndedLives()
    {
        std::set<endpoint_life> known;
        for (const assignment &each : assignments) {
            known.insert(each.owner);
            for (const clearing_holder &holder : each.holders) {
                known.insert(holder.life);
            }
        }
        for (const listed_endpoint &endpoint : endpoints) {
            known.insert(endpoint.entry.life);
        }
        for (const endpoint_life &life : known) {
            const endpoint_life *successor = successorOf(life);
            if (!life.endpoint.value().empty() && !endedLives.contains(life) && successor != nullptr) {
                endLife(life, *successor);
            }
        }
    }

    /**
     * Orders go to an address: what was granted to a life after its end, its successor has accepted. The successor therefore takes
     * its place among those that may hold keys.
     */
    void endLife(const endpoint_life &life, const endpoint_life &successor)
    {
        note("endpoint_life_ended", { { "endpoint", life.endpoint.value() }, { "successor", successor.endpoint.value() } });
        endedLives[life] = successor;
        lapses.extend(successor, lapses.lapse(life));
        lapses.ended(life);
        grantsInFlight[successor] += std::exchange(grantsInFlight[life], 0);
        contact.forget(life);
        for (assignment &each : assignments) {
            for (clearing_holder &holder : each.holders) {
                if (holder.life == life) {
                    holder = { successor, std::nullopt, {} };
                }
            }
        }
    }

    /** Returns the life that has the address of @p life now. */
    endpoint_life presentLife(endpoint_life life) const
    {
        for (auto found = endedLives.find(life); found != endedLives.end(); found = endedLives.find(life)) {
            life = found->second;
        }
        return life;
    }

    // --- actions ---

    void note(std::string event, std::vector<std::pair<std::string, std::string>> fields)
    {
        fields.emplace_back("service", service.value());
        fields.emplace_back("epoch", std::to_string(epoch));
        actions.emplace_back(note_decision{ std::move(event), std::move(fields) });
    }

    order_id open(order_kind kind, std::uint64_t serial, const endpoint_life &life, monotonic_time now)
    {
        const order_id order(++lastOrder);
        orders[order] = { kind, serial, life, now, grantLength() };
        if (kind == order_kind::grant) {
            ++grantsInFlight[life];
        }
        return order;
    }

    order_id grant(std::uint64_t serial, const held_grant &held, const std::string &handover, monotonic_time now)
    {
        const order_id order = open(order_kind::grant, serial, held.life, now);
        actions.emplace_back(send_grant{ order, held.life, held.keys, held.token, grantLength(), handover });
        return order;
    }

    /** Latest time at which a grant that arrived up to @p now lapses on the endpoint's clock. */
    monotonic_time lapseOfGrant(monotonic_time now, time_span length) const
    {
        const auto drift = std::chrono::duration_cast<time_span>(length * settings.clockDrift);
        return now + length + drift + settings.lapseMargin;
    }

    bool holdsNothing(const endpoint_life &life, monotonic_time now) const
    {
        if (endedLives.contains(life)) {
            return true;
        }
        const auto inFlight = grantsInFlight.find(life);
        return (inFlight == grantsInFlight.end() || inFlight->second == 0) && now >= lapses.lapse(life);
    }

    /** Longer with many ranges, so that renewals take a bounded part of the assigner's processor. */
    time_span renewInterval() const
    {
        const auto bounded
            = std::chrono::duration_cast<time_span>(std::chrono::duration<double>(static_cast<double>(assignments.size()) / mostRenewalsPerSecond));
        return std::max(settings.renewInterval, bounded);
    }

    time_span grantLength() const
    {
        return std::min(settings.longestGrant, settings.grantLength + renewInterval() - settings.renewInterval);
    }

    // --- assignments ---

    std::size_t indexOf(std::uint32_t key) const
    {
        const auto position = std::lower_bound(assignments.begin(), assignments.end(), key, [](const assignment &each, std::uint32_t value) {
            return each.keys.last < value;
        });
        return static_cast<std::size_t>(position - assignments.begin());
    }

    assignment *bySerial(std::uint64_t serial)
    {
        const auto found = std::find_if(assignments.begin(), assignments.end(), [&](const assignment &each) {
            return each.serial == serial;
        });
        return serial == 0 || found == assignments.end() ? nullptr : &*found;
    }

    /** Splits assignments so that one covers exactly @p keys. Precondition: one assignment contains them all. */
    assignment &isolate(key_range keys)
    {
        const std::size_t index = indexOf(keys.first);
        const assignment whole = assignments[index];
        if (whole.keys == keys) {
            return assignments[index];
        }
        std::vector<assignment> parts;
        if (whole.keys.first < keys.first) {
            parts.push_back(partOf(whole, { whole.keys.first, keys.first - 1 }, ++lastSerial));
        }
        const std::size_t position = index + parts.size();
        parts.push_back(partOf(whole, keys, ++lastSerial));
        if (keys.last < whole.keys.last) {
            parts.push_back(partOf(whole, { keys.last + 1, whole.keys.last }, ++lastSerial));
        }
        assignments.erase(assignments.begin() + static_cast<std::ptrdiff_t>(index));
        assignments.insert(assignments.begin() + static_cast<std::ptrdiff_t>(index), parts.begin(), parts.end());
        return assignments[position];
    }

    void retarget(assignment &subject, const endpoint_life &owner, std::string_view reason, monotonic_time now)
    {
        note("keys_moved",
             { { "keys", rangeText(subject.keys) },
               { "from", subject.owner.endpoint.value() },
               { "to", owner.endpoint.value() },
               { "reason", std::string(reason) },
               { "token", std::to_string(nextToken + 1) } });
        if (subject.hasOwner() && subject.settled && subject.changedIn <= written && !endedLives.contains(subject.owner)) {
            subject.renewUntilWritten.push_back({ subject.owner, subject.keys, subject.token });
        }
        subject.lapse = time_span::zero();
        if (subject.hasOwner() && subject.grantSent && !(subject.owner == owner)) {
            subject.addHolder(presentLife(subject.owner));
            if (contact.isLost(subject.owner)) {
                subject.lapse = lapses.remaining(subject.owner, now);
            }
        }
        std::erase_if(subject.holders, [&](const clearing_holder &holder) {
            return holder.life == owner;
        });
        subject.owner = owner;
        subject.releaseToken = fencing_token(nextToken++);
        subject.token = fencing_token(nextToken++);
        subject.settled = false;
        subject.grantSent = false;
        subject.intact = subject.intact && !subject.renewUntilWritten.empty();
        subject.superseded = false;
        subject.grantOrder.reset();
        subject.nextGrant = now;
        subject.changedIn = ++revision;
    }

    void settle(assignment &subject, monotonic_time now)
    {
        subject.settled = true;
        subject.lapse = time_span::zero();
        subject.handover.clear();
        subject.movableFrom = now + settings.settleInterval;
        ++revision;
        note("keys_settled",
             { { "keys", rangeText(subject.keys) }, { "owner", subject.owner.endpoint.value() }, { "token", std::to_string(subject.token.value()) } });
    }

    // --- planning ---

    bool mayStart(monotonic_time now) const
    {
        const bool anyOwner = std::any_of(assignments.begin(), assignments.end(), [](const assignment &each) {
            return each.hasOwner();
        });
        return anyOwner || now - endpointsGrewAt >= settings.startInterval;
    }

    struct plan_input {
        std::vector<planning_endpoint> endpoints;
        std::vector<endpoint_life> lives;
        std::vector<planning_range> ranges;
    };

    plan_input planInput(monotonic_time now) const
    {
        plan_input input;
        std::map<endpoint_life, std::size_t> indexes;
        for (const listed_endpoint &endpoint : endpoints) {
            if (isUsable(endpoint)) {
                const endpoint_id &id = endpoint.entry.life.endpoint;
                indexes[endpoint.entry.life] = input.lives.size();
                input.lives.push_back(endpoint.entry.life);
                // Failed requests are repeated, so a failing endpoint does that much less useful work.
                const double slowness = load.slowness(id) / (1 - load.failureShare(id) * 0.9);
                input.endpoints.push_back(
                    { static_cast<double>(std::max(1U, endpoint.entry.workerSlots)), slowness, now < endpoint.stateSince + endpoint.entry.coldFor });
            }
        }
        for (const assignment &each : assignments) {
            const auto owner = indexes.find(each.owner);
            input.ranges.push_back({ each.keys,
                                     owner == indexes.end() ? std::nullopt : std::optional(owner->second),
                                     each.settled && !each.superseded && now >= each.movableFrom });
        }
        return input;
    }

    void plan(monotonic_time now)
    {
        nextPlan = now + settings.planInterval;
        noteEndedLives();
        if (endpoints.empty() || isCutOff() || !mayStart(now)) {
            return;
        }
        renewTokens(now);
        const plan_input input = planInput(now);
        if (input.endpoints.empty()) {
            return;
        }
        range_planner planner(load, input.endpoints, input.ranges, {});
        apply(planner.shareOut(), input, "owner_unusable", now);
        const auto moving = static_cast<std::size_t>(std::count_if(assignments.begin(), assignments.end(), [](const assignment &each) {
            return !each.settled;
        }));
        if (now >= balanceFrom && moving < settings.concurrentMoves) {
            apply(planner.balance(settings.concurrentMoves - moving), input, "balance", now);
        }
        joinNeighbours(input.endpoints.size());
    }

    /** Gives a higher token to owners that have seen one. */
    void renewTokens(monotonic_time now)
    {
        for (assignment &each : assignments) {
            if (each.superseded) {
                retarget(each, each.owner, "token_superseded", now);
            }
        }
    }

    void apply(const std::vector<planned_move> &moves, const plan_input &input, std::string_view reason, monotonic_time now)
    {
        for (const planned_move &move : moves) {
            retarget(isolate(move.keys), input.lives[move.target], reason, now);
        }
    }

    bool mayJoin(const assignment &left, const assignment &right) const
    {
        const auto calm = [&](const assignment &each) {
            return each.hasOwner() && each.settled && each.holders.empty() && !each.superseded && each.changedIn <= written;
        };
        return calm(left) && calm(right) && left.owner == right.owner && !contact.isLost(left.owner);
    }

    void joinNeighbours(std::size_t usableEndpoints)
    {
        std::size_t joins = 0;
        for (std::size_t i = 0; i + 1 < assignments.size() && joins < joinsPerPlan && assignments.size() > rangesPerEndpoint * usableEndpoints;) {
            assignment &left = assignments[i];
            const assignment &right = assignments[i + 1];
            if (!mayJoin(left, right)) {
                ++i;
                continue;
            }
            left.renewUntilWritten = { { left.owner, left.keys, left.token }, { right.owner, right.keys, right.token } };
            left.keys.last = right.keys.last;
            left.serial = ++lastSerial;
            left.grantOrder.reset();
            left.nextGrant = std::min(left.nextGrant, right.nextGrant);
            left.token = fencing_token(nextToken++);
            left.changedIn = ++revision;
            left.movableFrom = std::max(left.movableFrom, right.movableFrom);
            assignments.erase(assignments.begin() + static_cast<std::ptrdiff_t>(i) + 1);
            note("ranges_joined", { { "keys", rangeText(left.keys) }, { "owner", left.owner.endpoint.value() } });
            ++joins;
        }
    }

    // --- orders ---

    /**
     * Without a confirmation, another assigner may have taken over. Only grants that were renewed without a break are renewed
     * then: after a break the endpoint may have been restarted, and would accept a token that has been superseded.
     */
    void advance(assignment &subject, bool mayDecide, monotonic_time now)
    {
        if (!mayDecide && !subject.intact) {
            return;
        }
        if (subject.changedIn > written) {
            renewReplaced(subject, now);
            return;
        }
        subject.renewUntilWritten.clear();
        if (mayDecide) {
            clearHolders(subject, now);
        }
        if (!subject.holders.empty() || !subject.hasOwner() || subject.grantOrder || now < subject.nextGrant || endedLives.contains(subject.owner)) {
            return;
        }
        subject.grantSent = true;
        subject.grantOrder = grant(subject.serial, { subject.owner, subject.keys, subject.token }, subject.handover, now);
    }

    void renewReplaced(assignment &subject, monotonic_time now)
    {
        if (now < subject.nextGrant || subject.renewUntilWritten.empty()) {
            return;
        }
        for (const held_grant &held : subject.renewUntilWritten) {
            grant(subject.serial, held, {}, now);
        }
        subject.nextGrant = now + renewInterval();
    }

    void clearHolders(assignment &subject, monotonic_time now)
    {
        std::erase_if(subject.holders, [&](const clearing_holder &holder) {
            if (!holdsNothing(holder.life, now)) {
                return false;
            }
            note("holder_lapsed", { { "keys", rangeText(subject.keys) }, { "endpoint", holder.life.endpoint.value() } });
            return true;
        });
        for (clearing_holder &holder : subject.holders) {
            if (!holder.order && now >= holder.nextAttempt) {
                holder.order = open(order_kind::release, subject.serial, holder.life, now);
                actions.emplace_back(send_release{ *holder.order, holder.life, subject.keys, subject.releaseToken });
            }
        }
    }

    void grantDone(const open_order &order, order_id id, order_outcome outcome, monotonic_time now)
    {
        const endpoint_life receiver = presentLife(order.life);
        --grantsInFlight[receiver];
        if (outcome == order_outcome::accepted || outcome == order_outcome::unanswered) {
            lapses.extend(receiver, lapseOfGrant(now, order.length));
        }
        assignment *subject = bySerial(order.serial);
        if (subject != nullptr) {
            subject->intact = subject->intact && outcome == order_outcome::accepted;
        }
        if (subject == nullptr || subject->grantOrder != id) {
            return;
        }
        subject->grantOrder.reset();
        if (outcome == order_outcome::accepted) {
            subject->intact = true;
            subject->nextGrant = order.sent + renewInterval() - renewalStep * static_cast<std::int64_t>(subject->serial % renewalSteps);
            if (!subject->settled) {
                settle(*subject, now);
            }
            return;
        }
        subject->nextGrant = now + settings.retryInterval;
        if (outcome == order_outcome::superseded) {
            note("token_superseded", { { "keys", rangeText(subject->keys) }, { "endpoint", order.life.endpoint.value() } });
            subject->superseded = true;
            subject->nextGrant = monotonic_time::max();
        }
    }

    void releaseDone(const open_order &order, order_id id, order_outcome outcome, std::string handover, monotonic_time now)
    {
        assignment *subject = bySerial(order.serial);
        if (subject == nullptr) {
            return;
        }
        const auto holder = std::find_if(subject->holders.begin(), subject->holders.end(), [&](const clearing_holder &each) {
            return each.order == id;
        });
        if (holder == subject->holders.end()) {
            return;
        }
        holder->order.reset();
        // Endpoints never refuse to release keys; one that does holds none, for it belongs to another service.
        if (outcome == order_outcome::accepted || outcome == order_outcome::refused) {
            note("keys_released", { { "keys", rangeText(subject->keys) }, { "endpoint", order.life.endpoint.value() } });
            subject->handover = std::move(handover);
            subject->holders.erase(holder);
            return;
        }
        holder->nextAttempt = now + settings.retryInterval;
        if (contact.isLost(order.life) && subject->lapse == time_span::zero()) {
            subject->lapse = std::max(settings.lapseMargin, lapses.remaining(order.life, now));
            ++revision;
        }
    }

    ownership_record toOwnershipRecord() const
    {
        ownership_record record;
        record.service = service;
        record.epoch = epoch;
        record.revision = revision;
        record.assigner = assigner;
        record.grantLength = grantLength();
        record.instances = load.instances();
        record.nextToken = nextToken;
        for (const assignment &each : assignments) {
            record.assignments.push_back(toRecord(each));
        }
        return record;
    }
};

key_assigner::key_assigner(service_id service, assigner_settings settings)
    : d(std::make_unique<impl>(std::move(service), settings))
{
}

key_assigner::~key_assigner() = default;

void key_assigner::start(std::optional<ownership_record> record, std::uint64_t epoch, network_address assigner, time_span earlierValidity, monotonic_time now)
{
    const monotonic_time holdersLapse = d->lapseOfGrant(now + earlierValidity, record ? record->grantLength + grantLengthSlack : time_span::zero());
    d->inheritedLength = record ? record->grantLength + grantLengthSlack : time_span::zero();
    d->epoch = epoch;
    d->assigner = std::move(assigner);
    d->endpointsGrewAt = now;
    // The demand of the last seconds has to be reported first.
    d->balanceFrom = now + std::chrono::seconds(2);
    if (record) {
        d->nextToken = record->nextToken;
        for (const key_assignment &each : record->assignments) {
            d->assignments.push_back(detail::fromRecord(each, ++d->lastSerial));
            d->lapses.inherit(each.owner, holdersLapse);
            for (const endpoint_life &life : each.otherHolders) {
                d->lapses.inherit(life, holdersLapse);
            }
        }
    } else {
        assignment everything;
        everything.serial = ++d->lastSerial;
        everything.settled = true;
        d->assignments.push_back(everything);
    }
    ++d->revision;
}

void key_assigner::earlierStopped(monotonic_time now)
{
    d->lapses.limitInherited(d->lapseOfGrant(now, d->inheritedLength));
}

void key_assigner::setEndpoints(std::vector<listed_endpoint> endpoints, monotonic_time now)
{
    if (endpoints.size() > d->endpoints.size()) {
        d->endpointsGrewAt = now;
    }
    d->endpoints = std::move(endpoints);
    d->indexEndpoints();
    d->nextPlan = now;
}

void key_assigner::addLoad(const load_report &report, monotonic_time now)
{
    d->load.add(report, now);
}

void key_assigner::recordWritten(std::uint64_t revision, bool success, monotonic_time now)
{
    if (d->writeInFlight != revision) {
        return;
    }
    d->writeInFlight.reset();
    if (!success) {
        return;
    }
    for (assignment &each : d->assignments) {
        if (each.changedIn > d->written && each.changedIn <= revision) {
            each.nextGrant = now;
            each.intact = false;
        }
    }
    d->written = revision;
}

void key_assigner::orderDone(order_id order, order_outcome outcome, std::string handover, monotonic_time now)
{
    const auto found = d->orders.find(order);
    if (found == d->orders.end()) {
        return;
    }
    const open_order done = found->second;
    d->orders.erase(found);
    if (outcome == order_outcome::unanswered || outcome == order_outcome::unsent) {
        d->contact.failed(done.life, now);
        if (d->contact.isLost(done.life)) {
            d->nextPlan = std::min(d->nextPlan, now);
        }
    } else {
        d->contact.answered(done.life);
    }
    switch (done.kind) {
    case order_kind::grant:
        d->grantDone(done, order, outcome, now);
        break;
    case order_kind::release:
        d->releaseDone(done, order, outcome, std::move(handover), now);
        break;
    case order_kind::probe:
        break;
    }
}

std::vector<assigner_action> key_assigner::act(bool mayDecide, monotonic_time now)
{
    d->load.advance(now);
    if (mayDecide && !d->writeInFlight && now >= d->nextPlan) {
        d->plan(now);
    }
    if (mayDecide && !d->writeInFlight && d->revision > d->written && now >= d->nextWrite) {
        d->writeInFlight = d->revision;
        d->nextWrite = now + d->settings.writeInterval;
        d->actions.emplace_back(write_record{ d->toOwnershipRecord(), d->revision });
    }
    for (assignment &each : d->assignments) {
        d->advance(each, mayDecide, now);
    }
    for (const endpoint_life &life : d->contact.dueProbes(now)) {
        if (d->listed(life) != nullptr) {
            const order_id order = d->open(order_kind::probe, 0, life, now);
            d->actions.emplace_back(probe_endpoint{ order, life });
        }
    }
    return std::exchange(d->actions, {});
}

ownership_record key_assigner::resignation() const
{
    ownership_record record = d->toOwnershipRecord();
    record.resigned = true;
    ++record.revision;
    return record;
}

ownership_record key_assigner::current() const
{
    return d->toOwnershipRecord();
}

} // namespace sycamoretray
