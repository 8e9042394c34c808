#pragma once

#include "controller/controller.h"
#include "drifting_clock.h"
#include "event_scheduler.h"
#include "fake_server.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace sycamoretray::harness
{

/** Permission of a home to dispatch requests to one endpoint, as set by the actions of its controller. */
struct dispatch_state {
    home_term term;
    endpoint_definition endpoint;
    monotonic_time validUntil{};
    slot_set held;
};

/**
 * One incarnation of an instance: a real controller on a drifting clock that can be paused at any step. A paused incarnation
 * queues the events that arrive, like the socket buffers of a stopped process, and handles them when it resumes.
 *
 * Thread safety: none. The functions that it has scheduled share ownership of it.
 */
class instance_host : public std::enable_shared_from_this<instance_host>
{
public:
    using perform_function = std::function<void(instance_host &host, const controller_action &action)>;

    instance_host(event_scheduler &scheduler, controller_settings settings, drifting_clock clock, perform_function perform);

    /** Delivers the first tick and schedules the periodic ones. */
    void start();

    /** Handles @p event at once, or when the pause ends; drops it after terminate(). */
    void deliver(const controller_event &event);

    /** Pauses at once, or before the next action is carried out if @p beforeNextAction is set. */
    void pauseFor(time_span duration, bool beforeNextAction);

    /** Ends the process without notice: drops all queued events and actions, and every later event. */
    void terminate();

    bool alive() const;
    bool paused() const;
    monotonic_time localNow() const;
    const controller_settings &settings() const;
    const drifting_clock &clock() const;
    const controller &hostedController() const;

    /** Null until the controller has built the first routing table. */
    const routing_table *table() const;
    bool acceptsCallers() const;
    const std::map<server_id, dispatch_state> &dispatches() const;

    /** Slots that the current routing table assigns to @p server. */
    const slot_set &slotsOf(const server_id &server) const;

private:
    void handle(const controller_event &event);
    void performNext();
    void resume();
    void scheduleTick();
    /** Updates the routing table, the dispatches and the readiness that callers of this class observe. */
    void applyLocally(const controller_action &action);
    void indexTable();

    event_scheduler &m_scheduler;
    controller_settings m_settings;
    drifting_clock m_clock;
    perform_function m_perform;
    controller m_controller;
    std::deque<controller_event> m_events;
    std::deque<controller_action> m_actions;
    time_span m_pauseBeforeAction{};
    monotonic_time m_pausedUntil{};
    bool m_paused = false;
    bool m_alive = true;
    bool m_handling = false;
    bool m_acceptsCallers = false;
    std::shared_ptr<const routing_table> m_table;
    std::map<server_id, slot_set> m_slots;
    std::map<server_id, dispatch_state> m_dispatches;
};

} // namespace sycamoretray::harness
