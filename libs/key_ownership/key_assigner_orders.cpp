#include "key_ownership/detail/key_assigner_impl.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

using detail::assignment;
using detail::clearing_holder;
using detail::held_grant;
using detail::open_order;
using detail::order_kind;
using detail::rangeText;

namespace
{

// A renewal takes about 0.1 ms of a core.
constexpr double mostRenewalsPerSecond = 300;
// Renewals are spread over this time, so that they do not hold up requests all at once.
constexpr std::uint64_t renewalSteps = 8;
constexpr time_span renewalStep = std::chrono::milliseconds(20);

} // namespace

void key_assigner::impl::note(std::string event, std::vector<std::pair<std::string, std::string>> fields)
{
    fields.emplace_back("service", service.value());
    fields.emplace_back("epoch", std::to_string(epoch));
    actions.emplace_back(note_decision{ std::move(event), std::move(fields) });
}

order_id key_assigner::impl::open(order_kind kind, std::uint64_t serial, const endpoint_life &life, monotonic_time now)
{
    const order_id order(++lastOrder);
    orders[order] = { kind, serial, life, now, grantLength() };
    if (kind == order_kind::grant) {
        ++grantsInFlight[life];
    }
    return order;
}

order_id key_assigner::impl::grant(std::uint64_t serial, const held_grant &held, const std::string &handover, monotonic_time now)
{
    const order_id order = open(order_kind::grant, serial, held.life, now);
    actions.emplace_back(send_grant{ order, held.life, held.keys, held.token, grantLength(), handover });
    return order;
}

monotonic_time key_assigner::impl::lapseOfGrant(monotonic_time now, time_span length) const
{
    const auto drift = std::chrono::duration_cast<time_span>(length * settings.clockDrift);
    return now + length + drift + settings.lapseMargin;
}

bool key_assigner::impl::holdsNothing(const endpoint_life &life, monotonic_time now) const
{
    if (endedLives.contains(life)) {
        return true;
    }
    const auto inFlight = grantsInFlight.find(life);
    return (inFlight == grantsInFlight.end() || inFlight->second == 0) && now >= lapses.lapse(life);
}

time_span key_assigner::impl::renewInterval() const
{
    const auto bounded = std::chrono::duration_cast<time_span>(std::chrono::duration<double>(static_cast<double>(assignments.size()) / mostRenewalsPerSecond));
    return std::max(settings.renewInterval, bounded);
}

time_span key_assigner::impl::grantLength() const
{
    return std::min(settings.longestGrant, settings.grantLength + renewInterval() - settings.renewInterval);
}

void key_assigner::impl::advance(assignment &subject, bool mayDecide, monotonic_time now)
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

void key_assigner::impl::renewReplaced(assignment &subject, monotonic_time now)
{
    if (now < subject.nextGrant || subject.renewUntilWritten.empty()) {
        return;
    }
    for (const held_grant &held : subject.renewUntilWritten) {
        grant(subject.serial, held, {}, now);
    }
    subject.nextGrant = now + renewInterval();
}

void key_assigner::impl::clearHolders(assignment &subject, monotonic_time now)
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

void key_assigner::impl::grantDone(const open_order &order, order_id id, order_outcome outcome, monotonic_time now)
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

void key_assigner::impl::releaseDone(const open_order &order, order_id id, order_outcome outcome, std::string handover, monotonic_time now)
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

} // namespace sycamoretray
