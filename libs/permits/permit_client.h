#pragma once

#include "permits/coordinator_ranking.h"
#include "permits/permit_message.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace sycamoretray
{

struct permit_client_settings {
    /** Returns the zone of an endpoint, from which the coordinator of its queue is chosen. */
    std::function<std::optional<availability_zone>(const endpoint_incarnation &)> zoneOf;
};

/** Reports outcomes to the gateway; never called from within a call that the gateway makes. */
struct permit_observer {
    std::function<void(permit_id permit, const endpoint_id &endpoint, std::uint64_t startedAtMs, monotonic_time now)> granted;
    std::function<void(permit_id permit, time_span retryAfter, monotonic_time now)> refused;
    /** No coordinator is available. */
    std::function<void(permit_id permit, monotonic_time now)> unavailable;
    /** The coordinator knows no endpoint for the request. */
    std::function<void(permit_id permit, monotonic_time now)> noEndpoint;
};

/**
 * Requests permits from the coordinators of queues, and returns permits to them.
 *
 * A message that is not answered is retried. A request is then sent to the next coordinator in rank, and the unresponsive
 * instance is excluded for some time. The return of a permit is retried until it is acknowledged or the retries are exhausted.
 *
 * Thread safety: none.
 */
class permit_client : public permit_source
{
public:
    permit_client(permit_client_settings settings, permit_port &port, permit_observer observer);

    void setCandidates(const coordinator_candidates &candidates);

    bool isUsed(const permit_request &request) const override;
    void ask(const permit_request &request, monotonic_time now) override;
    void giveBack(permit_id permit, const permit_result &result, monotonic_time now) override;

    /** Handles a message from the instance at @p from. Messages to coordinators are ignored. */
    void received(const network_address &from, const permit_message &message, monotonic_time now);

    /** Handles expired timers. Call it at nextDue(). */
    void advance(monotonic_time now);
    monotonic_time nextDue() const;

private:
    enum class permit_state {
        /** Sent to the coordinator, and not yet answered. */
        requested,
        waiting,
        granted,
        /** Returned, but not yet acknowledged. */
        returning,
    };
    struct open_permit {
        permit_request request;
        network_address coordinator;
        permit_state state = permit_state::requested;
        std::uint32_t sends = 0;
        monotonic_time usefulUntil{};
        /** Not used if the caller is not told of a refusal. */
        monotonic_time callerWaitsUntil{};
        monotonic_time due{};
        permit_result result;
    };

    /** Returns the highest-ranked coordinator that is not excluded, and its role; nothing if there is none. */
    std::optional<std::pair<network_address, limit_role>> coordinatorFor(const permit_request &request) const;
    bool isExcluded(const network_address &instance) const;
    /** Sends the request to the highest-ranked coordinator that is not excluded, or reports that there is none. */
    void requestFromCoordinator(permit_id id, open_permit &permit, monotonic_time now);
    void send(permit_id id, open_permit &permit, monotonic_time now);
    void handleTimeout(permit_id id, open_permit &permit, monotonic_time now);
    void schedule(permit_id id, open_permit &permit, monotonic_time due);
    void forget(permit_id id);

    void handle(const network_address &from, const permit_grant &message, monotonic_time now);
    void handle(const network_address &from, const permit_queued &message, monotonic_time now);
    void handle(const network_address &from, const permit_refusal &message, monotonic_time now);
    void handle(const network_address &from, const permit_unavailable &message, monotonic_time now);
    void handle(const network_address &from, const permit_return_acknowledgement &message, monotonic_time now);
    void handle(const network_address & /*from*/, const permit_request_message & /*message*/, monotonic_time /*now*/)
    {
    }
    void handle(const network_address & /*from*/, const permit_return & /*message*/, monotonic_time /*now*/)
    {
    }

    permit_client_settings m_settings;
    permit_port &m_port;
    permit_observer m_observer;
    coordinator_candidates m_candidates;
    /** Candidates for queues of services that are not divided by key; each such queue receives the requests of a whole zone. */
    coordinator_candidates m_strongestCandidates;
    bool m_largeSite = false;
    std::map<permit_id, open_permit> m_permits;
    std::set<std::pair<monotonic_time, permit_id>> m_due;
    /** Unresponsive or stopping instances, and the time until which they are not used as coordinators. */
    std::map<network_address, monotonic_time> m_excludedUntil;
    monotonic_time m_now{};
};

} // namespace sycamoretray
