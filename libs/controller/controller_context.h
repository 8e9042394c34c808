#pragma once

#include "control_state/control_state.h"
#include "controller/controller.h"

#include <string>
#include <utility>
#include <vector>

namespace sycamoretray
{

/** State shared by the parts of the controller: replayed state, time, and actions of the current event. Thread safety: none. */
class controller_context
{
public:
    explicit controller_context(controller_settings instanceSettings);

    const controller_settings settings;
    control_state state;
    monotonic_time now;

    /** The end of the log was seen at least once. */
    bool caughtUp = false;
    bool stopping = false;

    operation_id newOperation();
    void add(controller_action action);

    /** Adds an action that must follow the routing table of the current event. */
    void addAfterRouting(controller_action action);
    void event(std::string name, std::vector<std::pair<std::string, std::string>> fields);
    void sendPeer(const incarnation_id &to, const pb::PeerMessage &message);
    std::vector<controller_action> takeActions();
    std::vector<controller_action> takeActionsAfterRouting();

    const incarnation_id &self() const noexcept;

    /** The own instance_joined was read back and no instance_left. */
    bool joined() const;
    time_span driftMargin() const noexcept;

private:
    std::vector<controller_action> m_actions;
    std::vector<controller_action> m_afterRouting;
    std::uint64_t m_nextOperation = 1;
};

} // namespace sycamoretray
