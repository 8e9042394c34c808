#include "instance_host.h"

#include <algorithm>

namespace sycamoretray::harness
{

using namespace std::chrono_literals;

namespace
{

constexpr time_span tickInterval = 10ms;

} // namespace

instance_host::instance_host(event_scheduler &scheduler, controller_settings settings, drifting_clock clock, perform_function perform)
    : m_scheduler(scheduler)
    , m_settings(std::move(settings))
    , m_clock(clock)
    , m_perform(std::move(perform))
    , m_controller(m_settings)
{
}

void instance_host::start()
{
    deliver(tick{});
    scheduleTick();
}

void instance_host::scheduleTick()
{
    m_scheduler.after(tickInterval, [self = shared_from_this()] {
        if (!self->m_alive) {
            return;
        }
        if (!self->m_paused) {
            self->deliver(tick{});
        }
        self->scheduleTick();
    });
}

void instance_host::deliver(const controller_event &event)
{
    if (!m_alive) {
        return;
    }
    m_events.push_back(event);
    performNext();
}

void instance_host::performNext()
{
    if (m_handling) {
        return;
    }
    m_handling = true;
    while (m_alive && !m_paused && !(m_actions.empty() && m_events.empty())) {
        if (m_actions.empty()) {
            const controller_event event = m_events.front();
            m_events.pop_front();
            handle(event);
            continue;
        }
        if (m_pauseBeforeAction.count() > 0) {
            const time_span duration = std::exchange(m_pauseBeforeAction, 0us);
            pauseFor(duration, false);
            continue;
        }
        const controller_action action = std::move(m_actions.front());
        m_actions.pop_front();
        applyLocally(action);
        m_perform(*this, action);
    }
    m_handling = false;
}

void instance_host::handle(const controller_event &event)
{
    for (controller_action &action : m_controller.handle(event, localNow())) {
        m_actions.push_back(std::move(action));
    }
}

void instance_host::pauseFor(time_span duration, bool beforeNextAction)
{
    if (beforeNextAction) {
        m_pauseBeforeAction = duration;
        return;
    }
    m_paused = true;
    m_pausedUntil = std::max(m_pausedUntil, m_scheduler.now() + duration);
    m_scheduler.after(duration, [self = shared_from_this()] {
        self->resume();
    });
}

void instance_host::resume()
{
    if (m_scheduler.now() >= m_pausedUntil) {
        m_paused = false;
        performNext();
    }
}

void instance_host::terminate()
{
    m_alive = false;
    m_events.clear();
    m_actions.clear();
}

void instance_host::applyLocally(const controller_action &action)
{
    if (const auto *routing = std::get_if<routing_changed>(&action)) {
        m_table = routing->table;
        indexTable();
    } else if (const auto *open = std::get_if<open_dispatch>(&action)) {
        m_dispatches[open->server] = { open->term, open->endpoint, {}, {} };
    } else if (const auto *valid = std::get_if<dispatch_valid_until>(&action)) {
        const auto found = m_dispatches.find(valid->server);
        if (found != m_dispatches.end() && found->second.term == valid->term) {
            found->second.validUntil = valid->validUntil;
        }
    } else if (const auto *close = std::get_if<close_dispatch>(&action)) {
        m_dispatches.erase(close->server);
    } else if (const auto *hold = std::get_if<hold_slots>(&action)) {
        for (const hash_slot slot : hold->slots) {
            m_dispatches[hold->server].held.set(slot.value());
        }
    } else if (const auto *release = std::get_if<release_slots>(&action)) {
        const auto found = m_dispatches.find(release->server);
        for (const hash_slot slot : found == m_dispatches.end() ? std::vector<hash_slot>() : release->slots) {
            found->second.held.reset(slot.value());
        }
    } else if (const auto *accept = std::get_if<accept_callers>(&action)) {
        m_acceptsCallers = accept->accept;
    }
}

void instance_host::indexTable()
{
    m_slots.clear();
    for (const routed_service &service : m_table->services()) {
        for (std::size_t slot = 0; slot < service.slotOwner.size(); ++slot) {
            if (service.slotOwner[slot] != routed_service::noOwner) {
                m_slots[service.servers[service.slotOwner[slot]].endpoint.server].set(slot);
            }
        }
    }
}

bool instance_host::alive() const
{
    return m_alive;
}

bool instance_host::paused() const
{
    return m_paused;
}

monotonic_time instance_host::localNow() const
{
    return m_clock.local(m_scheduler.now());
}

const controller_settings &instance_host::settings() const
{
    return m_settings;
}

const drifting_clock &instance_host::clock() const
{
    return m_clock;
}

const controller &instance_host::hostedController() const
{
    return m_controller;
}

const routing_table *instance_host::table() const
{
    return m_table.get();
}

bool instance_host::acceptsCallers() const
{
    return m_acceptsCallers;
}

const std::map<server_id, dispatch_state> &instance_host::dispatches() const
{
    return m_dispatches;
}

const slot_set &instance_host::slotsOf(const server_id &server) const
{
    static const slot_set nothing;
    const auto found = m_slots.find(server);
    return found == m_slots.end() ? nothing : found->second;
}

} // namespace sycamoretray::harness
