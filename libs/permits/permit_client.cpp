#include "permits/permit_client.h"

#include "permits/permit_keeper.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

namespace
{

// A question and its answer take 1 to 3 ms; a process whose processor share is used up stands still for up to 0.1 s.
constexpr time_span answerTimeout = std::chrono::milliseconds(60);
constexpr std::uint32_t mostSends = 3;
// A keeper that is lost while a request waits is noticed after about this time.
constexpr time_span refreshInterval = std::chrono::milliseconds(300);
constexpr time_span silentPause = std::chrono::seconds(2);
// Longer than the list of instances takes to follow a planned stop.
constexpr time_span stoppingPause = std::chrono::seconds(8);
// Keepers of a queue that are tried in turn; the chance that three are lost at once is that of losing the zone.
constexpr std::size_t mostKeepers = 3;

} // namespace

permit_client::permit_client(permit_client_settings settings, permit_port &port, permit_observer observer)
    : m_settings(std::move(settings))
    , m_port(port)
    , m_observer(std::move(observer))
{
}

void permit_client::setCandidates(const keeper_candidates &candidates)
{
    m_candidates = candidates;
    m_strongest = strongestCandidates(candidates);
    m_largeSite = isLargeSite(candidates);
}

bool permit_client::isSilent(const network_address &instance) const
{
    const auto found = m_silentUntil.find(instance);
    return found != m_silentUntil.end() && m_now < found->second;
}

network_address permit_client::keeperOf(const permit_request &request) const
{
    const availability_zone zone = request.owner ? m_settings.zoneOf(*request.owner).value_or(request.zone) : request.zone;
    for (const network_address &each : rankKeepers(request.owner ? m_candidates : m_strongest, zone, permit_pool_name(request).text(), mostKeepers)) {
        if (!isSilent(each)) {
            return each;
        }
    }
    return {};
}

bool permit_client::isUsed(const permit_request &request) const
{
    return m_largeSite && !(keeperOf(request) == network_address());
}

void permit_client::ask(const permit_request &request, monotonic_time now)
{
    m_now = std::max(m_now, now);
    open_permit &permit = m_permits[request.id];
    permit.request = request;
    permit.usefulUntil = now + request.useful;
    permit.keeper = keeperOf(request);
    send(request.id, permit, now);
}

void permit_client::askKeeper(permit_id id, open_permit &permit, monotonic_time now)
{
    permit.keeper = keeperOf(permit.request);
    permit.sends = 0;
    permit.state = permit_state::asked;
    if (permit.keeper == network_address()) {
        forget(id);
        m_observer.unavailable(id, now);
        return;
    }
    send(id, permit, now);
}

void permit_client::send(permit_id id, open_permit &permit, monotonic_time now)
{
    ++permit.sends;
    schedule(id, permit, now + answerTimeout);
    if (permit.state == permit_state::returning) {
        m_port.send(permit.keeper, permit_return{ id, permit.result });
        return;
    }
    permit.request.useful = std::max(time_span::zero(), permit.usefulUntil - now);
    m_port.send(permit.keeper, permit_ask{ permit.request });
}

void permit_client::schedule(permit_id id, open_permit &permit, monotonic_time due)
{
    m_due.erase({ permit.due, id });
    permit.due = due;
    m_due.emplace(due, id);
}

void permit_client::forget(permit_id id)
{
    const auto found = m_permits.find(id);
    if (found != m_permits.end()) {
        m_due.erase({ found->second.due, id });
        m_permits.erase(found);
    }
}

void permit_client::giveBack(permit_id id, const permit_result &result, monotonic_time now)
{
    const auto found = m_permits.find(id);
    if (found == m_permits.end()) {
        return;
    }
    open_permit &permit = found->second;
    permit.state = permit_state::returning;
    permit.result = result;
    permit.sends = 0;
    send(id, permit, now);
}

void permit_client::received(const network_address &from, const permit_message &message, monotonic_time now)
{
    m_now = std::max(m_now, now);
    std::visit(
        [&](const auto &each) {
            take(from, each, now);
        },
        message);
}

void permit_client::take(const network_address &from, const permit_grant &message, monotonic_time now)
{
    m_silentUntil.erase(from);
    const auto found = m_permits.find(message.id);
    const bool expected = found != m_permits.end() && found->second.keeper == from;
    if (!expected) {
        // The question was withdrawn, or put to another keeper.
        m_port.send(from, permit_return{ message.id, {} });
        return;
    }
    open_permit &permit = found->second;
    if (permit.state == permit_state::granted || permit.state == permit_state::returning) {
        return;
    }
    permit.state = permit_state::granted;
    m_due.erase({ permit.due, message.id });
    m_observer.granted(message.id, message.endpoint, message.startedAtMs, now);
}

void permit_client::take(const network_address &from, const permit_queued &message, monotonic_time now)
{
    m_silentUntil.erase(from);
    const auto found = m_permits.find(message.id);
    if (found == m_permits.end() || !(found->second.keeper == from) || found->second.state == permit_state::granted
        || found->second.state == permit_state::returning) {
        return;
    }
    found->second.state = permit_state::waiting;
    found->second.sends = 0;
    schedule(message.id, found->second, now + refreshInterval);
}

void permit_client::take(const network_address &from, const permit_refusal &message, monotonic_time now)
{
    m_silentUntil.erase(from);
    const auto found = m_permits.find(message.id);
    if (found == m_permits.end() || !(found->second.keeper == from) || found->second.state == permit_state::granted) {
        return;
    }
    const bool withdrawn = found->second.state == permit_state::returning;
    forget(message.id);
    if (!withdrawn) {
        m_observer.refused(message.id, message.retryAfter, now);
    }
}

void permit_client::take(const network_address &from, const permit_unavailable &message, monotonic_time now)
{
    if (message.stopping) {
        m_silentUntil[from] = now + stoppingPause;
    }
    const auto found = m_permits.find(message.id);
    if (found == m_permits.end() || !(found->second.keeper == from)) {
        return;
    }
    open_permit &permit = found->second;
    if (permit.state == permit_state::granted) {
        return;
    }
    if (permit.state == permit_state::returning) {
        forget(message.id);
    } else if (message.stopping) {
        askKeeper(message.id, permit, now);
    } else {
        forget(message.id);
        m_observer.unavailable(message.id, now);
    }
}

void permit_client::take(const network_address & /*from*/, const permit_returned &message, monotonic_time /*now*/)
{
    const auto found = m_permits.find(message.id);
    if (found != m_permits.end() && found->second.state == permit_state::returning) {
        forget(message.id);
    }
}

void permit_client::unanswered(permit_id id, open_permit &permit, monotonic_time now)
{
    if (permit.sends < mostSends) {
        send(id, permit, now);
        return;
    }
    m_silentUntil[permit.keeper] = now + silentPause;
    if (permit.state == permit_state::returning) {
        // The keeper takes a permit that does not come back for lost.
        forget(id);
    } else {
        askKeeper(id, permit, now);
    }
}

void permit_client::advance(monotonic_time now)
{
    m_now = std::max(m_now, now);
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const permit_id id = m_due.begin()->second;
        m_due.erase(m_due.begin());
        unanswered(id, m_permits.at(id), now);
    }
}

monotonic_time permit_client::nextDue() const
{
    return m_due.empty() ? monotonic_time::max() : m_due.begin()->first;
}

} // namespace sycamoretray
