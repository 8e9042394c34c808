#pragma once

#include "directory/request_limits.h"
#include "gateway/gateway.h"
#include "http_entry/http_server.h"
#include "http_message/resource_budget.h"
#include "settings/gateway_daemon_settings.h"

#include <memory>
#include <string>

namespace sycamoretray
{

/** Returns a random name for this incarnation of the instance. Thread-safe. */
std::string newIncarnationName(const instance_id &instance);

/** Returns the memory and connections that all callers together may hold. Thread-safe. */
std::shared_ptr<resource_budget> callerBudget(const gateway_daemon_settings &settings);

/** Returns the limits for callers' requests that the operator's configuration names. Thread-safe. */
caller_transfer_limits transferLimits(const request_limits &limits);

/** Returns the limits for requests of other instances, which forward what callers sent. Thread-safe. */
caller_transfer_limits internalTransferLimits(const request_limits &limits);

/** Returns the settings of the server for callers. Thread-safe. */
http_server_settings callerServerSettings(const gateway_daemon_settings &settings, const std::shared_ptr<resource_budget> &budget);

/** Returns the settings of the server for other instances, which takes the requests that they forward. Thread-safe. */
http_server_settings internalServerSettings(const gateway_daemon_settings &settings, const std::shared_ptr<resource_budget> &budget);

/** Returns the settings of the server for the load balancer's readiness checks. Thread-safe. */
http_server_settings readinessServerSettings(const gateway_daemon_settings &settings, const std::shared_ptr<resource_budget> &budget);

/** Returns the settings of the request path. Thread-safe. */
gateway_settings gatewaySettings(const gateway_daemon_settings &settings);

/**
 * Makes the allocator return the memory of large buffers to the system when they are freed. By default, it keeps buffers of up to
 * 32 MB once one of that size was freed. Call before other threads are started.
 */
void returnFreedMemory();

/** Returns unused memory of the allocator to the system. Takes some milliseconds. Thread-safe. */
void returnUnusedMemory();

} // namespace sycamoretray
