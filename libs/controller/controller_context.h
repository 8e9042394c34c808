#pragma once

#include "control_state/control_state.h"
#include "controller/controller.h"

#include <string>
#include <utility>
#include <vector>

namespace sycamoretray
{

/** State that the parts of the controller share: replayed state, current time, and the actions of the current event. Thread safety: none. */
class controller_context
{
public:
    explicit controller_context(controller_settings instanceSettings);

    const controller_settings settings;
    control_state state;
    /** Time of the current event. */
    monotonic_time now;

    /** A read has reached the end of the log at least once. */
    bool caughtUp = false;
    bool stopping = false;

    operation_id newOperation();
    void add(controller_action action);

    /** Adds an action that must come after routing_changed of the current event. */
    void addAfterRouting(controller_action action);
    /** Adds an emit_event. */
    void event(std::string name, std::vector<std::pair<std::string, std::string>> fields);
    void sendPeer(const incarnation_id &to, const pb::PeerMessage &message);
    std::vector<controller_action> takeActions();
    std::vector<controller_action> takeActionsAfterRouting();

    const incarnation_id &self() const noexcept;

    /** True if the own instance_joined was replayed and no instance_left of this incarnation. */
    bool joined() const;
    /** Margin for the drift between two clocks during a lease. */
    time_span driftMargin() const noexcept;

private:
    std::vector<controller_action> m_actions;
    std::vector<controller_action> m_afterRouting;
    std::uint64_t m_nextOperation = 1;
};

} // namespace sycamoretray
