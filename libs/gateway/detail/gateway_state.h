#pragma once

#include "gateway/crash_tracker.h"
#include "gateway/endpoint_limiter.h"
#include "gateway/gateway.h"
#include "gateway/load_recorder.h"
#include "gateway/split_chooser.h"
#include "gateway/typical_run_times.h"

#include <compare>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace sycamoretray::detail
{

enum class request_state {
    /** Waits for a usable owner of its key, or is about to be scheduled. */
    parked,
    /** Waits for the time of its retry. */
    delayed,
    /** Waits in a queue of this instance for capacity at an endpoint. */
    queued,
    /** Waits for a permit. */
    awaiting_permit,
    in_flight,
    /** Sent to another instance. */
    forwarded,
};

/** Identifies a queue: one for each owner of keys, and one for each service that is not divided by key. */
struct queue_id {
    explicit queue_id(endpoint_incarnation incarnation)
        : endpoint(std::move(incarnation))
    {
    }
    explicit queue_id(service_id name)
        : service(std::move(name))
    {
    }
    std::optional<endpoint_incarnation> endpoint;
    service_id service;

    friend bool operator<(const queue_id &left, const queue_id &right) noexcept
    {
        if (left.endpoint.has_value() != right.endpoint.has_value()) {
            return left.endpoint.has_value();
        }
        return left.endpoint ? *left.endpoint < *right.endpoint : left.service < right.service;
    }
};

/** A request that has not been answered. */
struct unanswered_request {
    gateway_request_id id;
    gateway_request request;
    std::function<void(gateway_answer)> answer;
    request_route route;
    service_id service;
    bool byKey = false;
    monotonic_time arrived{};
    monotonic_time deadline{};
    request_state state = request_state::parked;
    std::optional<queue_id> queueId;
    /** When the request is refused if its key still has no usable owner; set when it is parked for the first time. */
    monotonic_time parkedUntil{};
    monotonic_time retryAt{};
    endpoint_attempt_id attempt;
    endpoint_incarnation endpoint;
    monotonic_time sentAt{};
    std::uint32_t attempts = 0;
    /** An attempt of this instance ended without evidence that the request did not run. What others sent is known to those that forwarded it. */
    bool mayHaveRun = false;
    std::set<endpoint_id> triedEndpoints;
    /** Computed when it is first needed. */
    std::optional<request_fingerprint> fingerprint;
    /** Set while the request waits for a permit or uses one. */
    std::optional<permit_id> permit;
    /** Owner of the key when the permit was asked for. */
    endpoint_incarnation permitOwner;
    /** Zone in which the permit was asked for, if the request has no key. */
    availability_zone permitZone;
    forward_id forward;
    /** Number of instances that the request was sent to. */
    std::uint32_t forwards = 0;
    /** Zones whose coordinators know no endpoint for the request, for a service that is not divided by key. */
    std::set<availability_zone> emptyZones;
    /** Number of times that the coordinators of all zones knew no endpoint for the request. */
    std::uint32_t emptyRounds = 0;
    /** Number of zones that refused a permit, for a service that is not divided by key. */
    std::uint32_t zonesAsked = 0;
};

/** Order of requests in a queue: by priority, then by arrival. */
struct queue_position {
    explicit queue_position(const unanswered_request &request)
        : priority(request.route.priority)
        , id(request.id)
    {
    }
    std::uint32_t priority;
    gateway_request_id id;
    friend auto operator<=>(const queue_position &, const queue_position &) = default;
};

/** An incarnation of an endpoint that is listed or has requests in flight. */
struct tracked_endpoint {
    explicit tracked_endpoint(const listed_endpoint &endpoint)
        : limiter(endpoint)
        , stateSince(endpoint.stateSince)
    {
    }
    endpoint_limiter limiter;
    /** When the current state (ready or draining) was first seen. */
    monotonic_time stateSince;
    /** Since when the endpoint's zone is evacuated, if it is. */
    std::optional<monotonic_time> evacuatedSince;
};

/** Wakes a request, or a queue if one is set. */
struct timer {
    gateway_request_id request;
    std::optional<queue_id> queueId;
};

/** Requests, endpoints and queues of a gateway, with their lookups. */
struct gateway_state {
    gateway_state(gateway_settings givenSettings, endpoint_port &givenPort, gateway_log givenLog);

    gateway_settings settings;
    endpoint_port &port;
    gateway_log log;
    permit_source *permits = nullptr;
    forwarding_port *forwarding = nullptr;
    bool isolated = false;
    /** When the isolation last ended. */
    std::optional<monotonic_time> isolatedUntil;
    std::uint64_t lastForward = 0;
    std::map<forward_id, gateway_request_id> forwards;
    std::function<void(const endpoint_incarnation &)> endpointLeaves;
    std::uint64_t lastPermit = 0;
    std::optional<planned_stop> stop;
    std::shared_ptr<const request_routes> routes;
    ownership_view ownership;
    monotonic_time ownershipSince{};
    std::map<endpoint_incarnation, tracked_endpoint> trackedEndpoints;
    std::map<service_id, std::vector<endpoint_incarnation>> endpointsOfService;
    /** Failures of the endpoints of each service, for services that are not divided by key. */
    std::map<service_id, failure_detector> failures;
    std::map<gateway_request_id, std::unique_ptr<unanswered_request>> requests;
    std::map<endpoint_attempt_id, gateway_request_id> attempts;
    std::map<queue_id, std::set<queue_position>> queues;
    std::set<gateway_request_id> parked;
    /** Requests that wait for a permit. */
    std::map<permit_id, gateway_request_id> awaitingPermit;
    /** Zones in which a service has endpoints for new requests: this instance's zone first, the others in an order that differs between instances. */
    std::map<service_id, std::vector<availability_zone>> zonesOfService;
    /** Services that have endpoints, but none outside evacuated zones that accepts new work. */
    std::set<service_id> evacuatedServices;
    std::multimap<monotonic_time, timer> timers;
    std::set<queue_id> queueTimers;
    std::map<service_id, service_retry_budget> retryBudgets;
    split_chooser trafficSplits;
    typical_run_times runTimes;
    load_recorder loadRecorder;
    crash_tracker crashes;
    /** Requests sent to endpoints with a request limit, since they were last taken. */
    std::map<endpoint_id, limited_endpoint_load> limitedLoads;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastAttempt = 0;
    std::uint32_t instances = 0;
    /** Number of instances that are known to be alive, including those that have not reported load. */
    std::uint32_t knownInstances = 0;

    service_retry_budget &retryBudget(const service_id &service);
    void setInstances(std::uint32_t count);

    tracked_endpoint *findEndpoint(const endpoint_incarnation &incarnation);
    /** Request limit that the endpoint names, if it is tracked and names one. */
    std::optional<request_rate> requestLimitOf(const endpoint_incarnation &incarnation);
    std::vector<tracked_endpoint *> endpointsOf(const queue_id &queueId);
    void updateEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints);
    /** Removes endpoints that are not listed any more and have no requests in flight. */
    void removeUnlisted();
    /** True if the endpoint gets only trial requests, because it fails. */
    bool isEjected(const service_id &service, const tracked_endpoint &tracked) const;
    /** True if requests may be sent to the endpoint for keys that it holds. */
    bool acceptsKeyedRequests(const tracked_endpoint &tracked, monotonic_time now) const;

    /** Returns whether requests of the service may be sent in the zone. */
    bool isZoneUsed(const service_id &service, const availability_zone &zone) const;

    /** Updates zonesOfService. */
    void orderZones();

    void removeFromQueue(unanswered_request &request);
    void remove(unanswered_request &request);
    void wakeAt(const unanswered_request &request, monotonic_time time);
    /** Sets a timer for the queue at the first end of a backoff among its endpoints. */
    void wakeQueue(const queue_id &queueId, monotonic_time now);

    std::string dump(monotonic_time now) const;
};

} // namespace sycamoretray::detail
