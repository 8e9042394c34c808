#pragma once

#include "base/monotonic_time.h"
#include "base/strong_value.h"
#include "gateway/gateway_request.h"

#include <cstdint>
#include <variant>

namespace sycamoretray
{

/** Identifies one attempt to forward a request to another instance. */
using forward_id = strong_value<struct forward_id_tag, std::uint64_t>;

/** The other instance answered. */
struct forward_answered {
    http_response response;
    /** The answer says that the request did not run there; it is not an endpoint's. */
    bool refused = false;
};

/** The other instance did not take the request, or nothing was sent; it did not run there. */
struct forward_not_taken {
};

/** The request was sent to the other instance, and no answer came. */
struct forward_lost {
};

using forward_reply = std::variant<forward_answered, forward_not_taken, forward_lost>;

/** Forwards requests to other instances on behalf of a gateway. */
class forwarding_port
{
public:
    virtual ~forwarding_port() = default;

    /**
     * Sends @p request to another instance, which treats it like a caller's but never forwards it. The outcome is passed to
     * gateway::forwarded(), never from within this call.
     *
     * @param mark  what this instance states about the request
     * @return false if no other instance can take requests at present
     */
    virtual bool forward(forward_id id, const gateway_request &request, const forward_mark &mark, time_span timeLeft) = 0;

    /** Aborts an attempt, so that the other instance drops the request. gateway::forwarded() is not called. */
    virtual void abort(forward_id id) = 0;
};

} // namespace sycamoretray
