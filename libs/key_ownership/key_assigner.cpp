#include "key_ownership/key_assigner.h"

#include "key_ownership/assigner_epoch.h"
#include "key_ownership/detail/key_assigner_impl.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sycamoretray
{

using detail::assignment;
using detail::order_kind;
using detail::other_holder;
using detail::pending_order;

namespace
{

// A previous assigner may have lengthened its grants slightly since it wrote its last record.
constexpr time_span grantLengthSlack = std::chrono::milliseconds(500);

} // namespace

key_assigner::impl::impl(service_id givenService, assigner_settings givenSettings)
    : service(std::move(givenService))
    , settings(givenSettings)
    , responsiveness(givenSettings.probeInterval)
{
}

const listed_endpoint *key_assigner::impl::findListed(const endpoint_incarnation &incarnation) const
{
    const auto found = std::find_if(endpoints.begin(), endpoints.end(), [&](const listed_endpoint &endpoint) {
        return endpoint.entry.incarnation == incarnation;
    });
    return found == endpoints.end() ? nullptr : &*found;
}

bool key_assigner::impl::isUsable(const listed_endpoint &endpoint) const
{
    const endpoint_incarnation &incarnation = endpoint.entry.incarnation;
    return acceptsNewWork(endpoint) && !endpoint.missingUntil && !responsiveness.isUnresponsive(incarnation) && !hasTerminated(incarnation);
}

bool key_assigner::impl::mostEndpointsUnresponsive() const
{
    // An evacuated zone may be shut down, which says nothing about the path to the other endpoints.
    const auto considered = std::count_if(endpoints.begin(), endpoints.end(), [](const listed_endpoint &endpoint) {
        return !endpoint.evacuatedSince;
    });
    const auto unresponsive = std::count_if(endpoints.begin(), endpoints.end(), [&](const listed_endpoint &endpoint) {
        return !endpoint.evacuatedSince && responsiveness.isUnresponsive(endpoint.entry.incarnation);
    });
    return unresponsive * 2 > considered;
}

bool key_assigner::impl::mayHoldKeys(const endpoint_incarnation &incarnation) const
{
    return std::any_of(assignments.begin(), assignments.end(), [&](const assignment &each) {
        return each.owner == incarnation || std::any_of(each.otherHolders.begin(), each.otherHolders.end(), [&](const other_holder &holder) {
                   return holder.incarnation == incarnation;
               });
    });
}

const endpoint_incarnation *key_assigner::impl::successorOf(const endpoint_incarnation &incarnation) const
{
    const auto byAddress = newestAtAddress.find(incarnation.address);
    if (byAddress != newestAtAddress.end() && byAddress->second.startedAtMs > incarnation.startedAtMs) {
        return &byAddress->second;
    }
    const auto byId = newestById.find(incarnation.endpoint);
    return byId != newestById.end() && byId->second.startedAtMs > incarnation.startedAtMs ? &byId->second : nullptr;
}

bool key_assigner::impl::hasTerminated(const endpoint_incarnation &incarnation) const
{
    return endedIncarnations.contains(incarnation) || terminatedIncarnations.contains(incarnation);
}

void key_assigner::impl::recordTermination(const endpoint_incarnation &incarnation, monotonic_time now)
{
    if (hasTerminated(incarnation)) {
        return;
    }
    note("endpoint_life_ended", { { "endpoint", incarnation.endpoint.value() }, { "successor", "unknown" } });
    terminatedIncarnations.insert(incarnation);
    expiries.ended(incarnation);
    responsiveness.forget(incarnation);
    nextPlan = now;
}

void key_assigner::impl::indexEndpoints()
{
    newestAtAddress.clear();
    newestById.clear();
    for (const listed_endpoint &endpoint : endpoints) {
        const endpoint_incarnation &incarnation = endpoint.entry.incarnation;
        endpoint_incarnation &atAddress = newestAtAddress[incarnation.address];
        atAddress = incarnation.startedAtMs > atAddress.startedAtMs ? incarnation : atAddress;
        newestById[incarnation.endpoint] = incarnation;
    }
}

std::set<endpoint_incarnation> key_assigner::impl::knownIncarnations() const
{
    std::set<endpoint_incarnation> known;
    for (const assignment &each : assignments) {
        known.insert(each.owner);
        for (const other_holder &holder : each.otherHolders) {
            known.insert(holder.incarnation);
        }
    }
    for (const listed_endpoint &endpoint : endpoints) {
        known.insert(endpoint.entry.incarnation);
    }
    return known;
}

void key_assigner::impl::forgetUnreferenced(monotonic_time now)
{
    std::set<endpoint_incarnation> referenced = knownIncarnations();
    for (const auto &[id, order] : orders) {
        referenced.insert(order.incarnation);
    }
    for (const endpoint_incarnation &incarnation : std::set<endpoint_incarnation>(referenced)) {
        for (auto next = endedIncarnations.find(incarnation); next != endedIncarnations.end(); next = endedIncarnations.find(next->second)) {
            referenced.insert(next->second);
        }
    }
    const auto isUnreferenced = [&](const endpoint_incarnation &incarnation) {
        return !referenced.contains(incarnation);
    };
    std::erase_if(endedIncarnations, [&](const auto &item) {
        return isUnreferenced(item.first);
    });
    std::erase_if(terminatedIncarnations, isUnreferenced);
    std::erase_if(grantsInFlight, [&](const auto &item) {
        return item.second == 0 && isUnreferenced(item.first);
    });
    expiries.forgetLapsed(referenced, now);
}

void key_assigner::impl::detectEndedIncarnations()
{
    for (const endpoint_incarnation &incarnation : knownIncarnations()) {
        const endpoint_incarnation *successor = successorOf(incarnation);
        if (!incarnation.endpoint.value().empty() && !endedIncarnations.contains(incarnation) && successor != nullptr) {
            replaceIncarnation(incarnation, *successor);
        }
    }
}

void key_assigner::impl::replaceIncarnation(const endpoint_incarnation &incarnation, const endpoint_incarnation &successor)
{
    note("endpoint_life_ended", { { "endpoint", incarnation.endpoint.value() }, { "successor", successor.endpoint.value() } });
    endedIncarnations[incarnation] = successor;
    terminatedIncarnations.erase(incarnation);
    expiries.extend(successor, expiries.expiry(incarnation));
    expiries.ended(incarnation);
    grantsInFlight[successor] += std::exchange(grantsInFlight[incarnation], 0);
    responsiveness.forget(incarnation);
    for (assignment &each : assignments) {
        for (other_holder &holder : each.otherHolders) {
            if (holder.incarnation == incarnation) {
                holder = { successor, std::nullopt, {} };
            }
        }
    }
}

endpoint_incarnation key_assigner::impl::currentIncarnation(endpoint_incarnation incarnation) const
{
    for (auto found = endedIncarnations.find(incarnation); found != endedIncarnations.end(); found = endedIncarnations.find(incarnation)) {
        incarnation = found->second;
    }
    return incarnation;
}

void key_assigner::impl::recordResponsiveness(const endpoint_incarnation &incarnation, order_kind kind, order_outcome outcome, monotonic_time now)
{
    switch (outcome) {
    case order_outcome::accepted:
    case order_outcome::superseded:
    case order_outcome::refused:
        responsiveness.answered(incarnation);
        break;
    case order_outcome::misdirected:
        if (kind != order_kind::probe) {
            recordTermination(incarnation, now);
            break;
        }
        // A process that answers health checks with another id may still accept orders for this one, and hold keys by them.
        [[fallthrough]];
    case order_outcome::unanswered:
    case order_outcome::unsent:
        responsiveness.failed(incarnation, now);
        if (responsiveness.isUnresponsive(incarnation)) {
            nextPlan = std::min(nextPlan, now);
        }
        break;
    case order_outcome::connection_lost:
        // Says nothing about the endpoint, which closes idle connections.
        break;
    }
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
    record.earlierAssigners = earlierAssigners;
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

void key_assigner::start(std::optional<ownership_record> record,
                         std::uint64_t epoch,
                         network_address assigner,
                         time_span previousAssignerValidity,
                         monotonic_time now)
{
    const monotonic_time inheritedExpiry = d->grantExpiry(now + previousAssignerValidity, record ? record->grantLength + grantLengthSlack : time_span::zero());
    d->inheritedGrantLength = record ? record->grantLength + grantLengthSlack : time_span::zero();
    d->epoch = epoch;
    d->assigner = std::move(assigner);
    d->lastEndpointAddedAt = now;
    // Load reports of the last seconds have to arrive first.
    d->balanceNotBefore = now + std::chrono::seconds(2);
    if (record) {
        d->nextToken = record->nextToken;
        for (const key_assignment &each : record->assignments) {
            d->assignments.push_back(detail::fromRecord(each, ++d->lastSerial));
            d->expiries.inherit(each.owner, inheritedExpiry);
            for (const endpoint_incarnation &incarnation : each.otherHolders) {
                d->expiries.inherit(incarnation, inheritedExpiry);
            }
        }
    } else {
        assignment wholeKeySpace;
        wholeKeySpace.serial = ++d->lastSerial;
        wholeKeySpace.settled = true;
        d->assignments.push_back(wholeKeySpace);
    }
    d->nextToken = std::max(d->nextToken, firstTokenOf(epoch));
    ++d->revision;
    // The tokens of the previous assigner were sent on its connections, and it is not known how many of them.
    for (assignment &each : d->assignments) {
        if (each.hasOwner()) {
            each.token = d->reserveTokens();
            each.changedInRevision = d->revision;
        }
    }
}

void key_assigner::setEarlierAssigners(std::vector<network_address> assigners)
{
    if (d->earlierAssigners != assigners) {
        d->earlierAssigners = std::move(assigners);
        ++d->revision;
    }
}

void key_assigner::previousAssignerStopped(monotonic_time now)
{
    d->expiries.limitInherited(d->grantExpiry(now, d->inheritedGrantLength));
}

void key_assigner::setEndpoints(std::vector<listed_endpoint> endpoints, monotonic_time now)
{
    if (endpoints.size() > d->endpoints.size()) {
        d->lastEndpointAddedAt = now;
    }
    d->endpoints = std::move(endpoints);
    d->indexEndpoints();
    d->nextPlan = now;
}

void key_assigner::setColdRequestRate(std::optional<request_rate> rate, monotonic_time now)
{
    if (d->coldRequestRate != rate) {
        d->coldRequestRate = rate;
        d->nextPlan = now;
    }
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
        if (each.changedInRevision > d->writtenRevision && each.changedInRevision <= revision) {
            each.nextGrant = now;
            each.renewedWithoutGap = false;
        }
    }
    d->writtenRevision = revision;
}

void key_assigner::orderDone(order_id order, order_reply reply, monotonic_time now)
{
    const auto found = d->orders.find(order);
    if (found == d->orders.end()) {
        return;
    }
    const pending_order done = found->second;
    d->orders.erase(found);
    d->recordResponsiveness(done.incarnation, done.kind, reply.outcome, now);
    switch (done.kind) {
    case order_kind::grant:
        d->grantDone(done, order, reply, now);
        break;
    case order_kind::release:
        d->releaseDone(done, order, std::move(reply), now);
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
    if (mayDecide && !d->writeInFlight && d->revision > d->writtenRevision && now >= d->nextWrite) {
        d->writeInFlight = d->revision;
        d->nextWrite = now + d->settings.minWriteInterval;
        d->actions.emplace_back(write_record{ d->toOwnershipRecord(), d->revision });
    }
    for (assignment &each : d->assignments) {
        d->sendDueOrders(each, mayDecide, now);
    }
    for (const endpoint_incarnation &incarnation : d->responsiveness.dueProbes(now)) {
        const listed_endpoint *listed = d->findListed(incarnation);
        const bool needed = listed != nullptr && (!listed->evacuatedSince || d->mayHoldKeys(incarnation));
        if (needed) {
            const order_id order = d->openOrder(order_kind::probe, 0, incarnation, now);
            d->actions.emplace_back(probe_endpoint{ order, incarnation });
        }
    }
    return std::exchange(d->actions, {});
}

ownership_record key_assigner::resignation() const
{
    ownership_record record = d->toOwnershipRecord();
    record.resigned = d->earlierAssigners.empty();
    record.stopped = !record.resigned;
    ++record.revision;
    return record;
}

bool key_assigner::isRecorded() const noexcept
{
    return d->writtenRevision > 0;
}

std::size_t key_assigner::rememberedIncarnations() const noexcept
{
    return d->endedIncarnations.size() + d->terminatedIncarnations.size() + d->grantsInFlight.size();
}

ownership_record key_assigner::current() const
{
    return d->toOwnershipRecord();
}

} // namespace sycamoretray
