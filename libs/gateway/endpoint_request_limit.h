#pragma once

#include "base/monotonic_time.h"
#include "gateway/gateway_request.h"

#include <optional>

namespace sycamoretray
{

/**
 * The request limit that an endpoint names in its responses, for as long as it names one.
 *
 * Thread safety: none.
 */
class endpoint_request_limit
{
public:
    /** Records a response of the endpoint. @return whether rate() has changed */
    bool recordResponse(const std::optional<request_rate> &named, monotonic_time now);

    /** Requests a second that the endpoint takes from all instances together; nothing if it names no limit. */
    const std::optional<request_rate> &rate() const noexcept;

private:
    std::optional<request_rate> m_rate;
    monotonic_time m_namedAt{};
};

} // namespace sycamoretray
