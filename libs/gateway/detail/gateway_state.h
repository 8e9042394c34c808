#pragma once

#include "gateway/endpoint_gate.h"
#include "gateway/gateway.h"
#include "gateway/split_chooser.h"
#include "gateway/usual_times.h"
#include "gateway/work_recorder.h"

#include <compare>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace sycamoretray::detail
{

enum class request_state {
    /** Waits for something other than a gate: an owner, or a decision. */
    parked,
    /** Waits for the time of its next attempt. */
    delayed,
    /** Waits for room at an endpoint. */
    queued,
    /** Waits for a permit. */
    asking,
    in_flight,
};

/** Requests that wait for the same gates: those of one owner, or those of a service that is not divided by key. */
struct pool_key {
    explicit pool_key(endpoint_life life)
        : endpoint(std::move(life))
    {
    }
    explicit pool_key(service_id name)
        : service(std::move(name))
    {
    }
    std::optional<endpoint_life> endpoint;
    service_id service;

    friend bool operator<(const pool_key &left, const pool_key &right) noexcept
    {
        if (left.endpoint.has_value() != right.endpoint.has_value()) {
            return left.endpoint.has_value();
        }
        return left.endpoint ? *left.endpoint < *right.endpoint : left.service < right.service;
    }
};

/** A request that has not been answered. */
struct waiting_request {
    gateway_request_id id;
    gateway_request request;
    std::function<void(gateway_answer)> answer;
    request_route route;
    service_id service;
    bool byKey = false;
    monotonic_time arrived{};
    monotonic_time deadline{};
    request_state state = request_state::parked;
    std::optional<pool_key> pool;
    /** Set while the request waits for an owner: when it is refused. */
    monotonic_time parkedUntil{};
    monotonic_time retryAt{};
    endpoint_attempt_id attempt;
    endpoint_life endpoint;
    monotonic_time sentAt{};
    std::uint32_t attempts = 0;
    /** An attempt ended without saying that it did not run. */
    bool mayHaveRun = false;
    std::set<endpoint_id> tried;
    /** Set while the request waits for a permit, or uses one. */
    std::optional<permit_id> permit;
    /** Owner of the key when the permit was asked for. */
    endpoint_life askedOwner;
    /** Zones that were asked for a permit, for a service that is not divided by key. */
    std::uint32_t zonesAsked = 0;
};

/** Order of requests in a pool: by rank, then by arrival. */
struct queue_position {
    explicit queue_position(const waiting_request &request)
        : priority(request.route.priority)
        , id(request.id)
    {
    }
    std::uint32_t priority;
    gateway_request_id id;
    friend auto operator<=>(const queue_position &, const queue_position &) = default;
};

struct gate_entry {
    explicit gate_entry(const listed_endpoint &endpoint)
        : gate(endpoint)
        , stateSince(endpoint.stateSince)
    {
    }
    endpoint_gate gate;
    monotonic_time stateSince;
};

struct timer {
    gateway_request_id request;
    std::optional<pool_key> pool;
};

/** Requests, gates and queues of a gateway, and how they are found. */
struct gateway_state {
    gateway_state(gateway_settings givenSettings, endpoint_port &givenPort, gateway_log givenLog);

    gateway_settings settings;
    endpoint_port &port;
    gateway_log log;
    permit_source *permits = nullptr;
    std::uint64_t lastPermit = 0;
    std::shared_ptr<const request_routes> routes;
    ownership_view ownership;
    monotonic_time ownershipSince{};
    std::map<endpoint_life, gate_entry> gates;
    std::map<service_id, std::vector<endpoint_life>> gatesOfService;
    std::map<gateway_request_id, std::unique_ptr<waiting_request>> requests;
    std::map<endpoint_attempt_id, gateway_request_id> attempts;
    std::map<pool_key, std::set<queue_position>> pools;
    std::set<gateway_request_id> parked;
    /** Requests that wait for permits. */
    std::map<permit_id, gateway_request_id> asking;
    /** Zones in which a service has endpoints for new work: the own one first, then the others in an order that differs between instances. */
    std::map<service_id, std::vector<availability_zone>> zonesOfService;
    std::multimap<monotonic_time, timer> timers;
    std::set<pool_key> poolTimers;
    std::map<service_id, retry_allowance> allowances;
    split_chooser splits;
    usual_times times;
    work_recorder work;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastAttempt = 0;
    std::uint32_t instances = 0;
    /** Instances that are known to live, whether they have reported load or not. */
    std::uint32_t knownInstances = 0;

    retry_allowance &allowance(const service_id &service);
    void setInstances(std::uint32_t count);

    gate_entry *gateOf(const endpoint_life &life);
    std::vector<gate_entry *> gatesOf(const pool_key &pool);
    void updateGates(const std::map<endpoint_id, listed_endpoint> &endpoints);
    /** Drops gates of endpoints that have gone and have nothing under way. */
    void forgetUnlisted();
    /** The endpoint may be sent requests for keys that it holds. */
    bool mayUse(const gate_entry &gate, monotonic_time now) const;

    void orderZones();

    void unqueue(waiting_request &request);
    void remove(waiting_request &request);
    void wakeAt(const waiting_request &request, monotonic_time time);
    /** Pumps the pool again when the first of its blocked gates opens. */
    void wakePool(const pool_key &pool, monotonic_time now);

    std::string dump(monotonic_time now) const;
};

} // namespace sycamoretray::detail
