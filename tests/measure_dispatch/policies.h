#pragma once

#include "first_come_policy.h"

#include <functional>

namespace sycamoretray
{

using policy_factory = std::function<std::unique_ptr<dispatch_policy>()>;

/** Creates dispatchers with default settings for servers with @p slots worker slots. */
inline policy_factory dispatcherPolicy(std::uint32_t slots)
{
    return [slots] {
        dispatcher_settings settings;
        settings.workerSlots = slots;
        return std::make_unique<dispatcher_policy>(settings);
    };
}

inline policy_factory firstComePolicy(std::uint32_t slots)
{
    return [slots] {
        return std::make_unique<first_come_policy>(slots);
    };
}

} // namespace sycamoretray
