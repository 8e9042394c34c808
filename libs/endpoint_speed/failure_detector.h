#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "directory/endpoint_entry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sycamoretray
{

/** What an attempt at an endpoint shows about the endpoint. */
enum class attempt_outcome {
    succeeded,
    /** The endpoint answered with status 500 or above. */
    server_error,
    /** The endpoint refused the request although it had free worker slots. */
    refused_with_free_slots,
    /** The endpoint refused the request because it was full, which is no failure. */
    refused_when_full,
    /** The connection failed, or what arrived is not the response to the request. */
    no_response,
    /** There was no response until the time of the request was over. */
    timed_out,
    /** The attempt was withdrawn, or failed because of the sender's own path. */
    inconclusive,
};

/** An endpoint was ejected from its queue, or readmitted to it. */
struct ejection_change {
    endpoint_incarnation endpoint;
    bool ejected = false;
    /** Failures since the endpoint last worked. */
    std::uint32_t failures = 0;
    /** Time for which the endpoint gets no request; zero if it was readmitted. */
    time_span pause{};
};

/** Returns the fields of an ejection_change for the event log. Thread-safe. */
std::vector<std::pair<std::string, std::string>> ejectionFields(const ejection_change &change);

/**
 * Ejects failing endpoints from a queue of interchangeable endpoints, and finds out by single trial requests whether they work again.
 *
 * An endpoint that fails fast looks idle, and would get more requests than others. At most a third of the endpoints are ejected at a time,
 * so that a fault that concerns all of them does not end the service.
 *
 * Thread safety: none.
 */
class failure_detector
{
public:
    /** An attempt, by the instance that sent it. */
    struct attempt {
        network_address sender;
        monotonic_time sentAt{};
    };

    /** Replaces the endpoints of the queue, and keeps the state of those that remain. */
    void setEndpoints(const std::vector<endpoint_incarnation> &endpoints);

    /** Returns whether the endpoint is ejected. False for an unknown endpoint, as in the following functions. */
    bool isEjected(const endpoint_incarnation &endpoint) const;

    /**
     * Returns whether an ejected endpoint is to get a trial request now. A request that must not run twice is used only if no other
     * request came for some time.
     */
    bool isTrialDue(const endpoint_incarnation &endpoint, bool idempotent, monotonic_time now) const;

    /** Records that a request was sent. If the endpoint is ejected, the request is the trial. */
    void sent(const endpoint_incarnation &endpoint);

    /** Records the outcome of an attempt. */
    void ended(const endpoint_incarnation &endpoint, const attempt &ended, attempt_outcome outcome, monotonic_time now);

    /** Returns the ejections and readmissions since the last call. */
    std::vector<ejection_change> takeChanges();

    /** Number of ejected endpoints. */
    std::size_t ejected() const noexcept;

    /** Time of the next trial of an ejected endpoint after @p now; monotonic_time::max() if none is waiting for its time. */
    monotonic_time nextTrial(monotonic_time now) const noexcept;

private:
    struct ejection {
        monotonic_time since{};
        monotonic_time pausedUntil{};
        time_span pause{};
        bool trialInFlight = false;
    };
    struct endpoint_state {
        std::uint32_t failures = 0;
        std::uint32_t successesInRow = 0;
        /** Failures without a success in between, other than server errors. */
        std::uint32_t failuresInRow = 0;
        monotonic_time firstFailureInRow{};
        network_address firstSenderInRow;
        bool severalSendersInRow = false;
        /** One bit for each of the last attempts that shows something, 1 for a server error; the newest is the lowest. */
        std::uint8_t serverErrors = 0;
        std::optional<ejection> ejected;
    };
    /** The endpoints that last responded to an instance. */
    struct responses {
        endpoint_incarnation endpoint;
        monotonic_time at{};
        std::optional<monotonic_time> atOfOther;
    };

    void recordResponse(const network_address &sender, const endpoint_incarnation &endpoint, monotonic_time now);
    bool othersRespondTo(const network_address &sender, const endpoint_incarnation &endpoint, monotonic_time since) const;
    void recordSuccess(const endpoint_incarnation &endpoint, endpoint_state &state);
    void recordFailure(const endpoint_incarnation &endpoint, endpoint_state &state, const attempt &failed, attempt_outcome outcome, monotonic_time now);
    /** Returns whether the failures of the endpoint show that it does not work. */
    bool isFailing(const endpoint_incarnation &endpoint, const endpoint_state &state, const attempt &failed, attempt_outcome outcome) const;
    /** Ejects the endpoint if the limit allows it, or in place of one with far fewer failures. */
    void eject(const endpoint_incarnation &endpoint, endpoint_state &state, monotonic_time now);
    void readmit(const endpoint_incarnation &endpoint, endpoint_state &state);
    std::size_t maxEjected() const noexcept;
    std::map<endpoint_incarnation, endpoint_state>::iterator ejectedWithFewestFailures();

    std::map<endpoint_incarnation, endpoint_state> m_endpoints;
    std::map<network_address, responses> m_responses;
    std::vector<ejection_change> m_changes;
};

} // namespace sycamoretray
