#include "key_ownership/detail/key_assigner_impl.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

using detail::assignment;
using detail::held_grant;
using detail::order_kind;
using detail::other_holder;
using detail::pending_order;
using detail::rangeText;

namespace
{

// A renewal takes about 0.1 ms of processor time.
constexpr double maxRenewalsPerSecond = 300;
// Renewals are spread over renewalSpreadSteps steps, so that they do not delay requests in bursts.
constexpr std::uint64_t renewalSpreadSteps = 8;
constexpr time_span renewalSpreadStep = std::chrono::milliseconds(20);

/**
 * Returns whether the endpoint may have applied a grant. A rejection does not show that it did not: it may be a copy of the response to an
 * earlier order.
 */
bool mayHaveBeenApplied(order_outcome outcome)
{
    return outcome != order_outcome::unsent && outcome != order_outcome::connection_lost && outcome != order_outcome::misdirected;
}

} // namespace

void key_assigner::impl::note(std::string event, std::vector<std::pair<std::string, std::string>> fields)
{
    fields.emplace_back("service", service.value());
    fields.emplace_back("epoch", std::to_string(epoch));
    actions.emplace_back(log_decision{ std::move(event), std::move(fields) });
}

order_id key_assigner::impl::openOrder(order_kind kind, std::uint64_t serial, const endpoint_incarnation &incarnation, monotonic_time now)
{
    const order_id order(++lastOrder);
    orders[order] = { kind, serial, incarnation, now, grantLength() };
    if (kind == order_kind::grant) {
        ++grantsInFlight[incarnation];
    }
    return order;
}

order_id key_assigner::impl::grant(std::uint64_t serial,
                                   const held_grant &held,
                                   std::optional<connection_number> connection,
                                   const std::string &handover,
                                   monotonic_time now)
{
    const order_id order = openOrder(order_kind::grant, serial, held.incarnation, now);
    actions.emplace_back(send_grant{ order, held.incarnation, held.keys, held.token, grantLength(), connection, handover });
    return order;
}

bool key_assigner::impl::takeToken(assignment &subject)
{
    if (subject.tokensSent == tokensPerAssignment) {
        subject.superseded = true;
        subject.nextGrant = monotonic_time::max();
        return false;
    }
    ++subject.tokensSent;
    return true;
}

void key_assigner::impl::grantOwner(assignment &subject, monotonic_time now)
{
    if (!subject.grantedOn && !takeToken(subject)) {
        return;
    }
    subject.grantSent = true;
    const held_grant next{ subject.owner, subject.keys, subject.newestToken(), {} };
    subject.grantOrder = grant(subject.serial, next, subject.grantedOn, subject.handover, now);
}

monotonic_time key_assigner::impl::grantExpiry(monotonic_time now, time_span length) const
{
    const auto drift = std::chrono::duration_cast<time_span>(length * settings.clockDrift);
    return now + length + drift + settings.expiryMargin;
}

bool key_assigner::impl::holdsNothing(const endpoint_incarnation &incarnation, monotonic_time now) const
{
    if (hasTerminated(incarnation)) {
        return true;
    }
    const auto inFlight = grantsInFlight.find(incarnation);
    return (inFlight == grantsInFlight.end() || inFlight->second == 0) && now >= expiries.expiry(incarnation);
}

time_span key_assigner::impl::renewInterval() const
{
    const auto bounded = std::chrono::duration_cast<time_span>(std::chrono::duration<double>(static_cast<double>(assignments.size()) / maxRenewalsPerSecond));
    return std::max(settings.renewInterval, bounded);
}

time_span key_assigner::impl::grantLength() const
{
    return std::min(settings.longestGrant, settings.grantLength + renewInterval() - settings.renewInterval);
}

void key_assigner::impl::sendDueOrders(assignment &subject, bool mayDecide, monotonic_time now)
{
    if (!mayDecide && !(subject.renewedWithoutGap && (subject.grantedOn || !subject.renewUntilWritten.empty()))) {
        return;
    }
    if (subject.changedInRevision > writtenRevision) {
        renewReplacedGrants(subject, now);
        return;
    }
    subject.renewUntilWritten.clear();
    if (mayDecide) {
        releaseOtherHolders(subject, now);
    }
    if (!subject.otherHolders.empty() || !subject.hasOwner() || subject.grantOrder || now < subject.nextGrant || hasTerminated(subject.owner)) {
        return;
    }
    grantOwner(subject, now);
}

void key_assigner::impl::renewReplacedGrants(assignment &subject, monotonic_time now)
{
    if (now < subject.nextGrant || subject.renewUntilWritten.empty()) {
        return;
    }
    for (const held_grant &held : subject.renewUntilWritten) {
        grant(subject.serial, held, held.connection, {}, now);
    }
    subject.nextGrant = now + renewInterval();
}

void key_assigner::impl::releaseOtherHolders(assignment &subject, monotonic_time now)
{
    std::erase_if(subject.otherHolders, [&](const other_holder &holder) {
        if (!holdsNothing(holder.incarnation, now)) {
            return false;
        }
        note("holder_lapsed", { { "keys", rangeText(subject.keys) }, { "endpoint", holder.incarnation.endpoint.value() } });
        return true;
    });
    for (other_holder &holder : subject.otherHolders) {
        if (!holder.order && now >= holder.nextAttempt) {
            holder.order = openOrder(order_kind::release, subject.serial, holder.incarnation, now);
            actions.emplace_back(send_release{ *holder.order, holder.incarnation, subject.keys, subject.releaseToken });
        }
    }
}

void key_assigner::impl::grantDone(const pending_order &order, order_id id, const order_reply &reply, monotonic_time now)
{
    const endpoint_incarnation receiver = currentIncarnation(order.incarnation);
    --grantsInFlight[receiver];
    if (mayHaveBeenApplied(reply.outcome)) {
        expiries.extend(receiver, grantExpiry(now, order.length));
    }
    assignment *subject = findBySerial(order.serial);
    if (subject != nullptr) {
        subject->renewedWithoutGap = subject->renewedWithoutGap && reply.outcome == order_outcome::accepted;
    }
    if (subject == nullptr || subject->grantOrder != id) {
        return;
    }
    subject->grantOrder.reset();
    if (reply.outcome != order_outcome::accepted) {
        grantFailed(*subject, order, reply.outcome, now);
        return;
    }
    if (!subject->grantedOn && subject->tokensSent > 1) {
        note("grant_on_other_connection",
             { { "keys", rangeText(subject->keys) },
               { "endpoint", order.incarnation.endpoint.value() },
               { "token", std::to_string(subject->newestToken().value()) },
               { "connection", std::to_string(reply.connection.value()) } });
    }
    subject->grantedOn = reply.connection;
    subject->renewedWithoutGap = true;
    subject->nextGrant = order.sent + renewInterval() - renewalSpreadStep * static_cast<std::int64_t>(subject->serial % renewalSpreadSteps);
    if (!subject->settled) {
        settle(*subject, now);
    }
}

void key_assigner::impl::grantFailed(assignment &subject, const pending_order &order, order_outcome outcome, monotonic_time now)
{
    const bool unsent = outcome == order_outcome::unsent || outcome == order_outcome::connection_lost;
    if (unsent && !subject.grantedOn) {
        // No process has seen the token.
        --subject.tokensSent;
    }
    subject.grantedOn.reset();
    subject.nextGrant = outcome == order_outcome::connection_lost ? now : now + settings.retryInterval;
    if (outcome == order_outcome::superseded) {
        note("token_superseded", { { "keys", rangeText(subject.keys) }, { "endpoint", order.incarnation.endpoint.value() } });
        subject.superseded = true;
        subject.nextGrant = monotonic_time::max();
    }
}

void key_assigner::impl::releaseDone(const pending_order &order, order_id id, order_reply reply, monotonic_time now)
{
    assignment *subject = findBySerial(order.serial);
    if (subject == nullptr) {
        return;
    }
    const auto holder = std::find_if(subject->otherHolders.begin(), subject->otherHolders.end(), [&](const other_holder &each) {
        return each.order == id;
    });
    if (holder == subject->otherHolders.end()) {
        return;
    }
    holder->order.reset();
    // Endpoints never refuse to release keys of their service. An endpoint that refuses belongs to another service and holds none, and if
    // another process has the address, the holder has terminated.
    const bool holdsNone = reply.outcome == order_outcome::refused || reply.outcome == order_outcome::misdirected;
    if (reply.outcome == order_outcome::accepted || holdsNone) {
        note("keys_released", { { "keys", rangeText(subject->keys) }, { "endpoint", order.incarnation.endpoint.value() } });
        if (reply.handoverUnreadable) {
            note("handover_unreadable", { { "keys", rangeText(subject->keys) }, { "endpoint", order.incarnation.endpoint.value() } });
        }
        subject->handover = std::move(reply.handover);
        subject->otherHolders.erase(holder);
        return;
    }
    holder->nextAttempt = now + settings.retryInterval;
    if (responsiveness.isUnresponsive(order.incarnation) && subject->unservedFor == time_span::zero()) {
        subject->unservedFor = std::max(settings.expiryMargin, expiries.remaining(order.incarnation, now));
        ++revision;
    }
}

} // namespace sycamoretray
