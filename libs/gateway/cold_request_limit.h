#pragma once

#include "gateway/endpoint_request_limit.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace sycamoretray
{

/**
 * Paces requests to an endpoint by its service's cold request rate while the endpoint is cold.
 *
 * In any second, the requests that are sent in all roles together stay below one and a half times the rate and eight, which cold endpoints
 * tolerate. Requests that were sent before the endpoint became cold count as well. Where others may have sent some, nothing is sent in the first
 * second.
 *
 * Thread safety: none.
 */
class cold_request_limit
{
public:
    void setRole(limit_role role);

    /** Sets the number of instances among which the part of single instances is divided; 1 by default. */
    void setInstances(std::uint32_t instances);

    /** Sets whether all requests to the endpoint are recorded here; false by default. */
    void setSoleSender(bool soleSender);

    /**
     * Sets the rate of the service and the end of the cold time. Call it again with each change.
     *
     * @param sinceStart  the endpoint is cold since it started; in the first call, this means that no request was sent to it while it was warm
     */
    void update(std::optional<request_rate> rate, monotonic_time coldUntil, bool sinceStart, monotonic_time now);

    /** Returns whether requests are limited at @p now. */
    bool applies(monotonic_time now) const noexcept;

    /** Requests a second that may be sent in this role; nothing if they are not limited at @p now. */
    std::optional<request_rate> usableRate(monotonic_time now) const noexcept;

    /** Time from which the next request may be sent: in the past if it may be sent now. */
    monotonic_time nextRequestAt() const noexcept;

    void recordSent(monotonic_time now);

private:
    /** Number of requests that may be sent in a second. Precondition: there is a rate. */
    std::size_t maxInSecond() const noexcept;

    limit_role m_role = limit_role::first_coordinator;
    std::uint32_t m_instances = 1;
    bool m_soleSender = false;
    std::optional<monotonic_time> m_knownSince;
    monotonic_time m_until{};
    /** Nothing is sent before this time, because others may have sent requests to the endpoint while it was warm. */
    monotonic_time m_heldUntil{};
    /** Set while the endpoint is cold and its service has a rate; not removed when the cold time ends. */
    std::optional<endpoint_request_limit> m_pace;
    /** Times of the requests of the second before the last request. */
    std::deque<monotonic_time> m_sent;
};

} // namespace sycamoretray
