#include "controller/controller_context.h"

namespace sycamoretray
{

controller_context::controller_context(controller_settings instanceSettings)
    : settings(std::move(instanceSettings))
{
}

operation_id controller_context::newOperation()
{
    return operation_id(m_nextOperation++);
}

void controller_context::add(controller_action action)
{
    m_actions.push_back(std::move(action));
}

void controller_context::addAfterRouting(controller_action action)
{
    m_afterRouting.push_back(std::move(action));
}

void controller_context::event(std::string name, std::vector<std::pair<std::string, std::string>> fields)
{
    add(emit_event{ std::move(name), std::move(fields) });
}

void controller_context::sendPeer(const incarnation_id &to, const pb::PeerMessage &message)
{
    const instance_state *instance = state.findInstance(to);
    if (instance != nullptr && to != self()) {
        add(send_peer{ to, instance->peerAddress, message.SerializeAsString() });
    }
}

std::vector<controller_action> controller_context::takeActions()
{
    return std::exchange(m_actions, {});
}

std::vector<controller_action> controller_context::takeActionsAfterRouting()
{
    return std::exchange(m_afterRouting, {});
}

const incarnation_id &controller_context::self() const noexcept
{
    return settings.incarnation;
}

bool controller_context::joined() const
{
    const instance_state *own = state.findInstance(self());
    return own != nullptr && !own->hasLeft();
}

time_span controller_context::driftMargin() const noexcept
{
    return settings.faults.noDriftMargin ? time_span(0) : settings.timing.driftMargin;
}

} // namespace sycamoretray
