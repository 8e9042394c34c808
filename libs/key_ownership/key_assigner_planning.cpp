#include "key_ownership/detail/key_assigner_impl.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

using detail::assignment;
using detail::other_holder;
using detail::rangeText;

namespace
{

// Number of ranges per endpoint above which adjacent ranges of one owner are joined, because each range is renewed by a separate call.
constexpr std::size_t maxRangesPerEndpoint = 2;
constexpr std::size_t maxJoinsPerPlan = 16;
// Number of ranges up to which ranges are split to balance load: some ranges for each endpoint, and some for a small service.
constexpr std::size_t maxSplitRangesPerEndpoint = 3;
constexpr std::size_t minSplitRanges = 32;
// Balancing may have one move in flight for this many endpoints.
constexpr std::size_t endpointsPerConcurrentMove = 10;
// Ranges beyond maxRangesPerEndpoint are gathered over about this many plans.
constexpr std::size_t plansToGather = 16;
// Endpoints of which a higher share of requests fails receive no keys to balance load.
constexpr double maxFailureShareOfRecipient = 0.25;
// Moves that were held start soon after the reason has gone.
constexpr time_span heldPlanInterval = std::chrono::milliseconds(40);
// Time for all endpoints to answer after a lost path has returned: the timeout of an order that was sent before, a retry, and some margin.
constexpr time_span recoveryTime = std::chrono::milliseconds(600);

} // namespace

std::size_t key_assigner::impl::indexOf(std::uint32_t key) const
{
    const auto position = std::lower_bound(assignments.begin(), assignments.end(), key, [](const assignment &each, std::uint32_t value) {
        return each.keys.last < value;
    });
    return static_cast<std::size_t>(position - assignments.begin());
}

assignment *key_assigner::impl::findBySerial(std::uint64_t serial)
{
    const auto found = std::find_if(assignments.begin(), assignments.end(), [&](const assignment &each) {
        return each.serial == serial;
    });
    return serial == 0 || found == assignments.end() ? nullptr : &*found;
}

assignment &key_assigner::impl::splitOff(key_range keys)
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

void key_assigner::impl::reassign(assignment &subject, const endpoint_incarnation &owner, std::string_view reason, monotonic_time now)
{
    note("keys_moved",
         { { "keys", rangeText(subject.keys) },
           { "from", subject.owner.endpoint.value() },
           { "to", owner.endpoint.value() },
           { "reason", std::string(reason) },
           { "token", std::to_string(nextToken + 1) } });
    if (subject.hasOwner() && subject.settled && subject.changedInRevision <= writtenRevision && !hasTerminated(subject.owner)) {
        if (subject.grantedOn) {
            subject.renewUntilWritten.push_back({ subject.owner, subject.keys, subject.newestToken(), *subject.grantedOn });
        }
    }
    subject.unservedFor = time_span::zero();
    if (subject.hasOwner() && subject.grantSent && !(subject.owner == owner)) {
        subject.addOtherHolder(currentIncarnation(subject.owner));
        if (responsiveness.isUnresponsive(subject.owner)) {
            subject.unservedFor = expiries.remaining(subject.owner, now);
        }
    }
    const auto held = std::erase_if(subject.otherHolders, [&](const other_holder &holder) {
        return holder.incarnation == owner;
    });
    // The new owner may still have an earlier grant. It must be released if the keys move on before the next grant is sent.
    subject.grantSent = held > 0 || (subject.grantSent && subject.owner == owner);
    subject.owner = owner;
    subject.releaseToken = fencing_token(nextToken++);
    subject.token = reserveTokens();
    subject.tokensSent = 0;
    subject.grantedOn.reset();
    subject.settled = false;
    subject.renewedWithoutGap = subject.renewedWithoutGap && !subject.renewUntilWritten.empty();
    subject.superseded = false;
    subject.grantOrder.reset();
    subject.nextGrant = now;
    subject.changedInRevision = ++revision;
}

fencing_token key_assigner::impl::reserveTokens()
{
    const fencing_token first(nextToken);
    nextToken += tokensPerAssignment;
    return first;
}

void key_assigner::impl::settle(assignment &subject, monotonic_time now)
{
    subject.settled = true;
    subject.unservedFor = time_span::zero();
    subject.handover.clear();
    subject.movableFrom = now + settings.rebalanceCooldown;
    ++revision;
    note("keys_settled",
         { { "keys", rangeText(subject.keys) }, { "owner", subject.owner.endpoint.value() }, { "token", std::to_string(subject.newestToken().value()) } });
}

bool key_assigner::impl::mayAssign(monotonic_time now) const
{
    const bool anyOwner = std::any_of(assignments.begin(), assignments.end(), [](const assignment &each) {
        return each.hasOwner();
    });
    return anyOwner || now - lastEndpointAddedAt >= settings.initialAssignmentDelay;
}

double key_assigner::impl::plannedSlowness(const listed_endpoint &endpoint, double slots, monotonic_time now) const
{
    const endpoint_id &id = endpoint.entry.incarnation.endpoint;
    // Failed requests are retried, so failures reduce the useful work of an endpoint accordingly.
    const double slowness = load.slowness(id) / (1 - load.failureShare(id) * 0.9);
    auto limit = load.requestLimit(id);
    if (coldRequestRate && now < endpoint.coldUntil) {
        limit = limit ? std::min(*limit, *coldRequestRate) : *coldRequestRate;
    }
    const double meanWork = load.meanWork();
    if (!limit || meanWork <= 0) {
        return slowness;
    }
    // A request limit leaves worker slots idle, which for its keys is the same as slow ones.
    constexpr double minLimit = 0.1;
    return std::max(slowness, slots / (std::max(minLimit, limit->value()) * meanWork));
}

key_assigner::impl::plan_input key_assigner::impl::planInput(monotonic_time now) const
{
    plan_input input;
    std::map<endpoint_incarnation, std::size_t> indexes;
    for (const listed_endpoint &endpoint : endpoints) {
        if (isUsable(endpoint)) {
            indexes[endpoint.entry.incarnation] = input.incarnations.size();
            input.incarnations.push_back(endpoint.entry.incarnation);
            const double slots = std::max(1U, endpoint.entry.workerSlots);
            const bool failing = load.failureShare(endpoint.entry.incarnation.endpoint) > maxFailureShareOfRecipient;
            input.endpoints.push_back({ slots, plannedSlowness(endpoint, slots, now), now < endpoint.coldUntil, failing });
        }
    }
    for (const assignment &each : assignments) {
        const auto owner = indexes.find(each.owner);
        input.ranges.push_back(
            { each.keys, owner == indexes.end() ? std::nullopt : std::optional(owner->second), each.settled && !each.superseded, now < each.movableFrom });
    }
    return input;
}

void key_assigner::impl::plan(monotonic_time now)
{
    nextPlan = now + settings.planInterval;
    detectEndedIncarnations();
    forgetUnreferenced(now);
    renewTokens(now);
    if (!endpoints.empty() && mostEndpointsUnresponsive()) {
        movesNotBefore = now + recoveryTime;
    }
    if (movesHeld || now < movesNotBefore) {
        nextPlan = now + heldPlanInterval;
        return;
    }
    if (endpoints.empty() || !mayAssign(now)) {
        return;
    }
    const plan_input input = planInput(now);
    if (input.endpoints.empty()) {
        return;
    }
    planner_settings limits;
    limits.maxRanges = maxSplitRangesPerEndpoint * input.endpoints.size() + minSplitRanges;
    range_planner planner(load, input.endpoints, input.ranges, limits);
    apply(planner.assignUnowned(), input, "owner_unusable", now);
    if (now >= balanceNotBefore) {
        balance(planner, input, now);
    }
    joinNeighbours(input.endpoints.size());
}

std::size_t key_assigner::impl::balancingMoves(std::size_t usableEndpoints) const
{
    const auto moving = static_cast<std::size_t>(std::count_if(assignments.begin(), assignments.end(), [](const assignment &each) {
        return !each.settled;
    }));
    const std::size_t limit = std::max<std::size_t>(settings.maxConcurrentMoves, usableEndpoints / endpointsPerConcurrentMove);
    return limit - std::min(limit, moving);
}

void key_assigner::impl::balance(range_planner &planner, const plan_input &input, monotonic_time now)
{
    if (balancingMoves(input.endpoints.size()) == 0) {
        nextPlan = now + settings.busyPlanInterval;
        return;
    }
    std::erase_if(fastOwnerSince, [&](const auto &item) {
        return now - item.second >= settings.fastOwnerInterval;
    });
    const std::vector<planned_move> fast = planner.moveOverloadedKeys(balancingMoves(input.endpoints.size()), [&](std::uint32_t key) {
        return !fastOwnerSince.contains(key);
    });
    for (const planned_move &move : fast) {
        fastOwnerSince[move.keys.first] = now;
    }
    apply(fast, input, "fast_owner", now);
    const std::size_t allowed = balancingMoves(input.endpoints.size());
    const std::vector<planned_move> moves = planner.balance(allowed);
    apply(moves, input, "balance", now);
    if (moves.size() == allowed) {
        nextPlan = now + settings.busyPlanInterval;
    }
    const std::size_t excess = assignments.size() - std::min(assignments.size(), maxRangesPerEndpoint * input.endpoints.size());
    // A fraction of the excess, so that the ranges of a load that soon returns are still there.
    const std::size_t gathered = std::min((excess + plansToGather - 1) / plansToGather, balancingMoves(input.endpoints.size()));
    apply(planner.gatherRanges(gathered), input, "join", now);
}

void key_assigner::impl::renewTokens(monotonic_time now)
{
    for (assignment &each : assignments) {
        if (each.superseded) {
            reassign(each, each.owner, "token_superseded", now);
        }
    }
}

void key_assigner::impl::apply(const std::vector<planned_move> &moves, const plan_input &input, std::string_view reason, monotonic_time now)
{
    for (const planned_move &move : moves) {
        reassign(splitOff(move.keys), input.incarnations[move.target], reason, now);
    }
}

bool key_assigner::impl::mayJoin(const assignment &left, const assignment &right) const
{
    const auto isStable = [&](const assignment &each) {
        return each.hasOwner() && each.settled && each.otherHolders.empty() && !each.superseded && each.changedInRevision <= writtenRevision;
    };
    return isStable(left) && isStable(right) && left.owner == right.owner && !responsiveness.isUnresponsive(left.owner);
}

void key_assigner::impl::joinNeighbours(std::size_t usableEndpoints)
{
    std::size_t joins = 0;
    for (std::size_t i = 0; i + 1 < assignments.size() && joins < maxJoinsPerPlan && assignments.size() > maxRangesPerEndpoint * usableEndpoints;) {
        assignment &left = assignments[i];
        const assignment &right = assignments[i + 1];
        if (!mayJoin(left, right)) {
            ++i;
            continue;
        }
        left.renewUntilWritten.clear();
        for (const assignment *each : { &std::as_const(left), &right }) {
            if (each->grantedOn) {
                left.renewUntilWritten.push_back({ each->owner, each->keys, each->newestToken(), *each->grantedOn });
            }
        }
        left.keys.last = right.keys.last;
        left.serial = ++lastSerial;
        left.grantOrder.reset();
        left.nextGrant = std::min(left.nextGrant, right.nextGrant);
        left.token = reserveTokens();
        left.tokensSent = 0;
        left.grantedOn.reset();
        left.changedInRevision = ++revision;
        left.movableFrom = std::max(left.movableFrom, right.movableFrom);
        assignments.erase(assignments.begin() + static_cast<std::ptrdiff_t>(i) + 1);
        note("ranges_joined", { { "keys", rangeText(left.keys) }, { "owner", left.owner.endpoint.value() } });
        ++joins;
    }
}

} // namespace sycamoretray
