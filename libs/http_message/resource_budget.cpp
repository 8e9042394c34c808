#include "http_message/resource_budget.h"

#include <algorithm>
#include <tuple>

namespace sycamoretray
{

namespace
{

constexpr std::size_t eventCount = static_cast<std::size_t>(resource_event::closed_for_time) + 1;

/** Returns whether @p left gives way before @p right. */
bool givesWayBefore(const holder_state &left, const holder_state &right) noexcept
{
    return std::tuple(left.strength, left.progress, right.bytes, right.since) < std::tuple(right.strength, right.progress, left.bytes, left.since);
}

} // namespace

std::string_view toString(resource_event event) noexcept
{
    switch (event) {
    case resource_event::closed_for_memory:
        return "closed_for_memory";
    case resource_event::closed_for_connection:
        return "closed_for_connection";
    case resource_event::connection_refused:
        return "connection_refused";
    case resource_event::request_without_memory:
        return "request_without_memory";
    case resource_event::answer_without_memory:
        return "answer_without_memory";
    case resource_event::request_beyond_limits:
        return "request_beyond_limits";
    case resource_event::closed_for_time:
        return "closed_for_time";
    }
    return "unknown";
}

resource_budget::resource_budget(resource_limits limits)
    : m_limits(limits)
    , m_counts(eventCount)
{
}

void resource_budget::setObserver(std::function<void(const resource_decision &decision)> observer)
{
    m_observer = std::move(observer);
}

bool resource_budget::tryTake(std::uint64_t bytes, reservation_purpose purpose, const resource_holder *asker)
{
    if (!fits(bytes, purpose) && !couldTake(bytes, purpose, asker)) {
        return false;
    }
    while (!fits(bytes, purpose) && closeFirst(resource_event::closed_for_memory, asker, {})) {
    }
    take(bytes);
    return true;
}

bool resource_budget::couldTake(std::uint64_t bytes, reservation_purpose purpose, const resource_holder *asker)
{
    if (fits(bytes, purpose)) {
        return true;
    }
    const std::uint64_t limit = limitFor(purpose);
    const std::uint64_t kept = m_used - std::min(m_used, yieldableBytes(asker));
    if (kept <= limit && bytes <= limit - kept) {
        return true;
    }
    const bool forRequest = purpose == reservation_purpose::request || purpose == reservation_purpose::large_request;
    const auto event = forRequest ? resource_event::request_without_memory : resource_event::answer_without_memory;
    if (asker != nullptr) {
        record(event, *asker);
    } else {
        report(event, {}, {}, {});
    }
    return false;
}

bool resource_budget::admitConnection(std::string_view listener, std::uint32_t mayOpen, std::uint64_t bytes, reservation_purpose purpose)
{
    const bool limited = purpose != reservation_purpose::essential;
    bool admitted = mayOpen > 0 || closeFirst(resource_event::closed_for_connection, nullptr, listener);
    if (admitted && limited && m_holders.size() >= m_limits.connections) {
        admitted = closeFirst(resource_event::closed_for_connection, nullptr, {});
    }
    if (admitted && !fits(bytes, purpose)) {
        const std::uint64_t limit = limitFor(purpose);
        const std::uint64_t kept = m_used - std::min(m_used, yieldableBytes(nullptr));
        admitted = kept <= limit && bytes <= limit - kept;
        while (admitted && !fits(bytes, purpose) && closeFirst(resource_event::closed_for_memory, nullptr, {})) {
        }
    }
    if (!admitted) {
        report(resource_event::connection_refused, listener, {}, {});
    }
    return admitted;
}

std::uint64_t resource_budget::limitFor(reservation_purpose purpose) const noexcept
{
    switch (purpose) {
    case reservation_purpose::request:
        return m_limits.requestBytes;
    case reservation_purpose::large_request:
        return m_limits.requestBytes - m_limits.smallRequestBytes;
    case reservation_purpose::answer:
    case reservation_purpose::essential:
        break;
    }
    return m_limits.totalBytes;
}

bool resource_budget::fits(std::uint64_t bytes, reservation_purpose purpose) const noexcept
{
    const std::uint64_t limit = limitFor(purpose);
    return purpose == reservation_purpose::essential || (m_used <= limit && bytes <= limit - m_used);
}

std::uint64_t resource_budget::yieldableBytes(const resource_holder *asker) const noexcept
{
    std::uint64_t bytes = 0;
    for (const resource_holder *holder : m_holders) {
        const holder_state state = holder->state();
        if (holder != asker && state.strength != claim::in_use) {
            bytes += state.bytes;
        }
    }
    return bytes;
}

bool resource_budget::closeFirst(resource_event event, const resource_holder *asker, std::string_view listener)
{
    resource_holder *first = nullptr;
    holder_state firstState;
    for (resource_holder *holder : m_holders) {
        if (holder == asker || (!listener.empty() && holder->listener() != listener)) {
            continue;
        }
        const holder_state state = holder->state();
        if (state.strength != claim::in_use && (first == nullptr || givesWayBefore(state, firstState))) {
            first = holder;
            firstState = state;
        }
    }
    if (first == nullptr) {
        return false;
    }
    report(event, first->listener(), first->callerAddress(), firstState);
    first->giveWay();
    return true;
}

void resource_budget::record(resource_event event, const resource_holder &holder)
{
    report(event, holder.listener(), holder.callerAddress(), holder.state());
}

void resource_budget::report(resource_event event, std::string_view listener, std::string caller, const holder_state &holder)
{
    ++m_counts[static_cast<std::size_t>(event)];
    if (m_observer) {
        m_observer({ event, listener, std::move(caller), holder, m_used, connections() });
    }
}

std::uint64_t resource_budget::count(resource_event event) const noexcept
{
    return m_counts[static_cast<std::size_t>(event)];
}

void resource_budget::add(resource_holder &holder)
{
    m_holders.push_back(&holder);
}

void resource_budget::remove(resource_holder &holder) noexcept
{
    const auto found = std::ranges::find(m_holders, &holder);
    if (found != m_holders.end()) {
        *found = m_holders.back();
        m_holders.pop_back();
    }
}

} // namespace sycamoretray
