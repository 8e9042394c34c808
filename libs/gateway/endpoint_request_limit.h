#pragma once

#include "base/monotonic_time.h"
#include "gateway/gateway_request.h"

#include <cstdint>
#include <optional>

namespace sycamoretray
{

/** What an instance knows of the request limit of an endpoint, for other instances. */
struct known_request_limit {
    request_rate rate;
    /** Time since a response of the endpoint named the limit. */
    time_span age{};
};

/** On whose behalf requests to an endpoint are paced. Determines the part of the limit that is used. */
enum class limit_role {
    /** For all instances, as the highest-ranked coordinator of the endpoint's queue. */
    first_coordinator,
    /** For instances that got no answer from the first coordinator, which may still grant permits to others. */
    second_coordinator,
    /** For instances that got no answer from two coordinators. */
    further_coordinator,
    /** For one instance that finds no coordinator. */
    single_instance,
};

/**
 * Paces requests to an endpoint by the request limit that the endpoint names in its responses, for as long as it names one.
 *
 * The limit applies to all instances together, but instances may disagree for some time on which coordinator to ask. Each role
 * therefore has its own part of the limit, so that no exchange between coordinators is needed. Instances without a coordinator divide
 * theirs; if the limit is so low that one saved request of each instance would exceed it, each response that names the limit uses up
 * the saved request.
 *
 * Thread safety: none.
 */
class endpoint_request_limit
{
public:
    void setRole(limit_role role);

    /** Sets the number of instances among which the part of single instances is divided; 1 by default. */
    void setInstances(std::uint32_t instances);

    /** Records a response of the endpoint. */
    void recordResponse(const std::optional<request_rate> &named, monotonic_time now);

    /** Records what another instance knows. Ignored if a response recorded here is newer. */
    void recordKnown(const known_request_limit &known, monotonic_time now);

    /** Requests a second that the endpoint takes from all instances together; nothing if it names no limit. */
    const std::optional<request_rate> &rate() const noexcept;

    std::optional<known_request_limit> known(monotonic_time now) const;

    /** Requests a second that may be sent in this role; nothing if they are not limited. */
    std::optional<request_rate> usableRate() const noexcept;

    /** Time from which the next request may be sent: in the past if it may be sent now. */
    monotonic_time nextRequestAt() const noexcept;

    void recordSent(monotonic_time now);

private:
    void setRate(std::optional<request_rate> rate, monotonic_time now);
    /** Number of requests that may be sent at once after a time without requests. */
    double maxBurst() const noexcept;
    /** Returns whether a request may be saved, or whether the saved requests of all instances would exceed the limit. */
    bool savesRequests() const noexcept;
    /** Number of requests that may be sent at @p now. */
    double available(monotonic_time now) const noexcept;

    limit_role m_role = limit_role::first_coordinator;
    std::uint32_t m_instances = 1;
    std::optional<request_rate> m_rate;
    monotonic_time m_namedAt{};
    monotonic_time m_respondedAt{};
    /** Number of requests that could be sent at m_availableAt. */
    double m_available = 0;
    monotonic_time m_availableAt{};
};

} // namespace sycamoretray
