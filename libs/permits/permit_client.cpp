#include "permits/permit_client.h"

#include "permits/permit_coordinator.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace sycamoretray
{

namespace
{

// A round trip takes 1 to 3 ms; a process that has exhausted its processor quota is suspended for up to 0.1 s.
constexpr time_span answerTimeout = std::chrono::milliseconds(60);
constexpr std::uint32_t maxSends = 3;
// Bounds the time until the loss of a coordinator is detected while a request waits.
constexpr time_span refreshInterval = std::chrono::milliseconds(300);
constexpr time_span unresponsiveExclusionTime = std::chrono::seconds(2);
// Longer than it takes until a stopped instance is removed from the list of instances.
constexpr time_span stoppingExclusionTime = std::chrono::seconds(8);
// Candidates tried for one queue. Losing three of them at once is about as likely as losing the whole zone.
constexpr std::size_t maxCoordinators = 3;

} // namespace

permit_client::permit_client(permit_client_settings settings, permit_port &port, permit_observer observer)
    : m_settings(std::move(settings))
    , m_port(port)
    , m_observer(std::move(observer))
{
}

void permit_client::setCandidates(const coordinator_candidates &candidates)
{
    m_candidates = candidates;
    m_strongestCandidates = strongestCandidates(candidates);
    m_largeSite = isLargeSite(candidates);
}

bool permit_client::isExcluded(const network_address &instance) const
{
    const auto found = m_excludedUntil.find(instance);
    return found != m_excludedUntil.end() && m_now < found->second;
}

std::optional<std::pair<network_address, limit_role>> permit_client::coordinatorFor(const permit_request &request) const
{
    constexpr std::array<limit_role, maxCoordinators> roles{ limit_role::first_coordinator, limit_role::second_coordinator, limit_role::further_coordinator };
    std::size_t rank = 0;
    const availability_zone zone = request.owner ? m_settings.zoneOf(*request.owner).value_or(request.zone) : request.zone;
    for (const network_address &each :
         rankCoordinators(request.owner ? m_candidates : m_strongestCandidates, zone, permit_pool_name(request).text(), maxCoordinators)) {
        if (!isExcluded(each)) {
            return std::pair(each, roles[rank]);
        }
        ++rank;
    }
    return std::nullopt;
}

bool permit_client::isUsed(const permit_request &request) const
{
    return (m_largeSite || request.limited) && coordinatorFor(request).has_value();
}

void permit_client::ask(const permit_request &request, monotonic_time now)
{
    m_now = std::max(m_now, now);
    open_permit &permit = m_permits[request.id];
    permit.request = request;
    permit.usefulUntil = now + request.maxAnswerTime;
    permit.callerWaitsUntil = now + request.callerTimeLeft.value_or(time_span::zero());
    // isUsed() was true at this time, so there is a coordinator.
    std::tie(permit.coordinator, permit.request.role) = coordinatorFor(request).value();
    send(request.id, permit, now);
}

void permit_client::requestFromCoordinator(permit_id id, open_permit &permit, monotonic_time now)
{
    permit.sends = 0;
    permit.state = permit_state::requested;
    const auto coordinator = coordinatorFor(permit.request);
    if (!coordinator) {
        forget(id);
        m_observer.unavailable(id, now);
        return;
    }
    std::tie(permit.coordinator, permit.request.role) = *coordinator;
    send(id, permit, now);
}

void permit_client::send(permit_id id, open_permit &permit, monotonic_time now)
{
    ++permit.sends;
    schedule(id, permit, now + answerTimeout);
    if (permit.state == permit_state::returning) {
        m_port.send(permit.coordinator, permit_return{ id, permit.result });
        return;
    }
    permit.request.maxAnswerTime = std::max(time_span::zero(), permit.usefulUntil - now);
    if (permit.request.callerTimeLeft) {
        permit.request.callerTimeLeft = std::max(time_span::zero(), permit.callerWaitsUntil - now);
    }
    m_port.send(permit.coordinator, permit_request_message{ permit.request });
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
            handle(from, each, now);
        },
        message);
}

void permit_client::handle(const network_address &from, const permit_grant &message, monotonic_time now)
{
    m_excludedUntil.erase(from);
    const auto found = m_permits.find(message.id);
    const bool expected = found != m_permits.end() && found->second.coordinator == from;
    if (!expected) {
        // The request was withdrawn, or sent to another coordinator.
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

void permit_client::handle(const network_address &from, const permit_queued &message, monotonic_time now)
{
    m_excludedUntil.erase(from);
    const auto found = m_permits.find(message.id);
    if (found == m_permits.end() || !(found->second.coordinator == from) || found->second.state == permit_state::granted
        || found->second.state == permit_state::returning) {
        return;
    }
    found->second.state = permit_state::waiting;
    found->second.sends = 0;
    schedule(message.id, found->second, now + refreshInterval);
}

void permit_client::handle(const network_address &from, const permit_refusal &message, monotonic_time now)
{
    m_excludedUntil.erase(from);
    const auto found = m_permits.find(message.id);
    if (found == m_permits.end() || !(found->second.coordinator == from) || found->second.state == permit_state::granted) {
        return;
    }
    const bool withdrawn = found->second.state == permit_state::returning;
    forget(message.id);
    if (!withdrawn) {
        m_observer.refused(message.id, message.retryAfter, now);
    }
}

void permit_client::handle(const network_address &from, const permit_unavailable &message, monotonic_time now)
{
    if (message.stopping) {
        m_excludedUntil[from] = now + stoppingExclusionTime;
    }
    const auto found = m_permits.find(message.id);
    if (found == m_permits.end() || !(found->second.coordinator == from)) {
        return;
    }
    open_permit &permit = found->second;
    if (permit.state == permit_state::granted) {
        return;
    }
    if (permit.state == permit_state::returning) {
        forget(message.id);
    } else if (message.stopping) {
        requestFromCoordinator(message.id, permit, now);
    } else {
        forget(message.id);
        m_observer.noEndpoint(message.id, now);
    }
}

void permit_client::handle(const network_address & /*from*/, const permit_return_acknowledgement &message, monotonic_time /*now*/)
{
    const auto found = m_permits.find(message.id);
    if (found != m_permits.end() && found->second.state == permit_state::returning) {
        forget(message.id);
    }
}

void permit_client::handleTimeout(permit_id id, open_permit &permit, monotonic_time now)
{
    if (permit.sends < maxSends) {
        send(id, permit, now);
        return;
    }
    m_excludedUntil[permit.coordinator] = now + unresponsiveExclusionTime;
    if (permit.state == permit_state::returning) {
        // A permit that is not returned expires at the coordinator.
        forget(id);
    } else {
        requestFromCoordinator(id, permit, now);
    }
}

void permit_client::advance(monotonic_time now)
{
    m_now = std::max(m_now, now);
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const permit_id id = m_due.begin()->second;
        m_due.erase(m_due.begin());
        handleTimeout(id, m_permits.at(id), now);
    }
}

monotonic_time permit_client::nextDue() const
{
    return m_due.empty() ? monotonic_time::max() : m_due.begin()->first;
}

} // namespace sycamoretray
