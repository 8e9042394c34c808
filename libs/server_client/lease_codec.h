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

/** Returns the JSON body of a lease request from the incarnation @p home; see docs/protocols.md. Thread-safe. */
std::string encodeLease(const send_lease &lease, const incarnation_id &home);

/**
 * Decodes the reply to a lease request into @p reply, except for its server and operation, which are not changed.
 *
 * @return ok, or malformed_message if the reply does not conform to docs/protocols.md. Thread-safe.
 */
result_code decodeLeaseReply(const http_response &response, lease_reply &reply);

} // namespace sycamoretray
