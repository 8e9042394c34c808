#pragma once

#include "dispatch/server_dispatcher.h"

#include <memory>
#include <vector>

namespace sycamoretray
{

/** Dispatch of the home of one server; the common interface of server_dispatcher and the baselines in measurements. */
class dispatch_policy
{
public:
    dispatch_policy() = default;
    dispatch_policy(const dispatch_policy &) = delete;
    dispatch_policy &operator=(const dispatch_policy &) = delete;
    virtual ~dispatch_policy() = default;
    virtual void handle(dispatch_event event, monotonic_time now, wall_time wallNow, std::vector<dispatch_action> &actions) = 0;
    virtual std::uint32_t queued() const = 0;
};

/** The policy of the router: server_dispatcher with @p settings. */
class dispatcher_policy final : public dispatch_policy
{
public:
    explicit dispatcher_policy(const dispatcher_settings &settings)
        : m_dispatcher(settings, wall_time{})
    {
    }
    void handle(dispatch_event event, monotonic_time now, wall_time wallNow, std::vector<dispatch_action> &actions) override
    {
        m_dispatcher.handle(std::move(event), now, wallNow, actions);
    }
    std::uint32_t queued() const override
    {
        return m_dispatcher.queuedCount();
    }

private:
    server_dispatcher m_dispatcher;
};

} // namespace sycamoretray
