#include "key_ownership/key_assigner.h"

#include "key_ownership/detail/key_assigner_impl.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sycamoretray
{

using detail::assignment;
using detail::clearing_holder;
using detail::open_order;
using detail::order_kind;

namespace
{

// An assigner may have lengthened its grants a little since it wrote its last record.
constexpr time_span grantLengthSlack = std::chrono::milliseconds(500);

} // namespace

key_assigner::impl::impl(service_id givenService, assigner_settings givenSettings)
    : service(std::move(givenService))
    , settings(givenSettings)
    , contact(givenSettings.probeInterval)
{
}

const listed_endpoint *key_assigner::impl::listed(const endpoint_life &life) const
{
    const auto found = std::find_if(endpoints.begin(), endpoints.end(), [&](const listed_endpoint &endpoint) {
        return endpoint.entry.life == life;
    });
    return found == endpoints.end() ? nullptr : &*found;
}

bool key_assigner::impl::isUsable(const listed_endpoint &endpoint) const
{
    const endpoint_life &life = endpoint.entry.life;
    return !endpoint.entry.draining && !endpoint.missingUntil && !contact.isLost(life) && !endedLives.contains(life);
}

bool key_assigner::impl::isCutOff() const
{
    const auto lost = static_cast<std::size_t>(std::count_if(endpoints.begin(), endpoints.end(), [&](const listed_endpoint &endpoint) {
        return contact.isLost(endpoint.entry.life);
    }));
    return lost * 2 > endpoints.size();
}

const endpoint_life *key_assigner::impl::successorOf(const endpoint_life &life) const
{
    const auto byAddress = newestAtAddress.find(life.address);
    if (byAddress != newestAtAddress.end() && byAddress->second.startedAtMs > life.startedAtMs) {
        return &byAddress->second;
    }
    const auto byId = newestOfId.find(life.endpoint);
    return byId != newestOfId.end() && byId->second.startedAtMs > life.startedAtMs ? &byId->second : nullptr;
}

void key_assigner::impl::indexEndpoints()
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

void key_assigner::impl::noteEndedLives()
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

void key_assigner::impl::endLife(const endpoint_life &life, const endpoint_life &successor)
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

endpoint_life key_assigner::impl::presentLife(endpoint_life life) const
{
    for (auto found = endedLives.find(life); found != endedLives.end(); found = endedLives.find(life)) {
        life = found->second;
    }
    return life;
}

ownership_record key_assigner::impl::toOwnershipRecord() const
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
