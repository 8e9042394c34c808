#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/result_code.h"
#include "controller/controller_actions.h"
#include "controller/controller_events.h"
#include "http_message/http_message.h"

#include <string>

namespace sycamoretray
{

/** Returns the JSON body of a lease request from this incarnation. docs/protocols.md describes it. Thread-safe. */
std::string encodeLease(const send_lease &lease, const incarnation_id &home);

/**
 * Decodes the reply to a lease request into @p reply, whose server and operation are left alone.
 *
 * @return ok, or malformed_message if the reply is not of the form that docs/protocols.md gives. Thread-safe.
 */
result_code decodeLeaseReply(const http_response &response, lease_reply &reply);

} // namespace sycamoretray
