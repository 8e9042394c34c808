#pragma once

#include "directory/endpoint_directory.h"
#include "endpoint_speed/failure_detector.h"
#include "gateway/endpoint_limiter.h"
#include "gateway/permit_source.h"
#include "permits/permit_queue.h"
#include "permits/return_promises.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace sycamoretray
{

/** Identifies a permit by the instance that requested it and by its id at that instance. */
struct permit_holder {
    network_address instance;
    permit_id id;
    friend auto operator<=>(const permit_holder &, const permit_holder &) = default;
};

/** A permit for an endpoint was granted. */
struct granted_permit {
    permit_holder holder;
    endpoint_incarnation endpoint;
};

/** A permit was refused, because the answer would be too late. */
struct refused_permit {
    permit_holder holder;
    time_span retryAfter{};
};

using permit_decision = std::variant<granted_permit, refused_permit>;

/**
 * Queue for a set of interchangeable endpoints: a single owner of keys, or the endpoints of a service in one zone.
 *
 * An endpoint has as many requests in flight as it has worker slots, and one more that hides the network delay between instances.
 * A waiting request is refused as soon as it is not expected to be answered within the useful time of the request. If there will be room when its
 * caller returns, it is promised a place at that time.
 *
 * Thread safety: none.
 */
class permit_pool
{
public:
    /** Sets a callback for each outcome of a promise to a refused request; none by default. */
    void setPromiseObserver(std::function<void(promise_outcome)> observer);

    /** Replaces the endpoints, and keeps the state of those that remain. */
    void setEndpoints(const std::vector<listed_endpoint> &endpoints);

    /**
     * Sets the rate to which requests to each cold endpoint are limited; nothing if the service states none. Call it after each setEndpoints().
     *
     * @param countsAll  instances send no requests without a permit
     */
    void limitWhileCold(std::optional<request_rate> rate, bool countsAll, monotonic_time now);

    /** Returns true if any endpoint is listed. */
    bool hasEndpoints() const noexcept;

    /** Adds a request, which decide() grants, refuses, or leaves waiting. */
    void enqueue(const permit_holder &holder, const permit_request &request, monotonic_time now);

    /** Records that the holder still waits. Returns false if it is not among the waiting ones. */
    bool refresh(const permit_holder &holder, monotonic_time now);

    /** Returns true if the holder waits for a permit or uses one. */
    bool knows(const permit_holder &holder) const;

    /** Returns the endpoint of a permit that was granted and not yet returned. */
    std::optional<endpoint_incarnation> grantedEndpoint(const permit_holder &holder) const;

    /**
     * Ends the wait for a permit or the use of one. Unknown holders are ignored. An attempt that could not be sent counts against the sender's
     * path, not against the endpoint, while the endpoint responds to other instances.
     */
    void release(const permit_holder &holder, const permit_result &result, monotonic_time now);

    /** Expires overdue entries, and returns the requests that are granted or refused now. */
    std::vector<permit_decision> decide(monotonic_time now);

    /** Removes and returns all waiting requests, so that another instance can decide on them. */
    std::vector<permit_holder> removeWaiting();

    /** Time at which decide() has to be called if no other event occurs; monotonic_time::max() if never. */
    monotonic_time nextDue(monotonic_time now) const;

    /** Returns the ejections and readmissions of endpoints since the last call. */
    std::vector<ejection_change> takeEjectionChanges();

    /** Number of endpoints that are ejected because of failures. */
    std::size_t ejected() const noexcept;

    bool isIdle() const noexcept;
    std::size_t waiting() const noexcept;
    std::size_t inUse() const noexcept;

private:
    struct waiting_entry {
        permit_holder holder;
        permit_request request;
        monotonic_time usefulUntil{};
        monotonic_time lastRefresh{};
        queue_standing standing = queue_standing::fresh;
    };
    struct used_permit {
        endpoint_incarnation endpoint;
        time_span typicalRunTime{};
        monotonic_time granted{};
        /** Estimated time at which a worker slot started to run the request. */
        std::optional<monotonic_time> started;
        /** Time at which the permit counts as lost. */
        monotonic_time expires{};
        std::optional<request_fingerprint> fingerprint;
    };
    struct instance_response {
        network_address instance;
        std::optional<monotonic_time> at;
    };
    struct pool_endpoint {
        explicit pool_endpoint(const listed_endpoint &listed);
        endpoint_limiter limiter;
        /** Permits in use, in the order in which they were granted. */
        std::list<permit_holder> used;
        /** The instance that last reported a response, and when. */
        instance_response lastResponse;
        /** The same for the last one of another instance. */
        instance_response lastResponseOfOther;

        void recordResponse(const network_address &instance, monotonic_time now);
        /** Returns whether the endpoint recently responded to an instance other than @p instance. */
        bool respondsToOthers(const network_address &instance, monotonic_time now) const;
    };

    /** Throughput of an endpoint with a request limit, by its worker slots of typical speed and by its limit. */
    struct limited_slots {
        double slots = 0;
        double perSecond = 0;
    };

    struct pool_throughput {
        /** Number of worker slots of typical speed with the same throughput as the endpoints without a request limit. */
        double slots = 0;
        /** Endpoints with a request limit. */
        std::vector<limited_slots> limited;
        /** Time from which one of the endpoints with a request limit can be used. */
        monotonic_time limitedUntil = monotonic_time::max();
        /** Slowness of the fastest endpoint. */
        double lowestSlowness = 1;
    };

    /** Returns whether a refusal is not told to the caller, but sends the request to another zone. */
    static bool mayGoToOtherZone(const permit_request &request) noexcept;
    /** Applies what the requesting instance knows: the role of this coordinator, and the request limit of the owner. */
    void updateLimits(const permit_request &request, monotonic_time now);
    pool_endpoint *chooseEndpoint(const permit_request &request, monotonic_time now);
    /** Returns an ejected endpoint that is to get this request as its trial, or nullptr. */
    pool_endpoint *chooseForTrial(const permit_request &request, monotonic_time now);
    static bool isUsable(const pool_endpoint &endpoint, const permit_request &request, monotonic_time now);
    /** Expected time to the answer as a multiple of the typical run time, for a comparison of the endpoints of a service. */
    double comparedTime(const pool_endpoint &endpoint, monotonic_time now) const;
    /** Returns whether the answer is expected too late at the endpoint. */
    bool isTooSlow(const pool_endpoint &endpoint, const permit_request &request, monotonic_time now) const;
    /** Returns whether a request that can wait in other zones is refused, as all endpoints with free worker slots are too slow for it. */
    bool hasOnlySlowEndpoints(const permit_request &request, monotonic_time now) const;
    /** Records what an attempt shows about the endpoint. */
    void recordOutcome(const permit_holder &holder,
                       const used_permit &used,
                       const permit_result &result,
                       const endpoint_reply &reply,
                       bool pathLost,
                       monotonic_time now);
    granted_permit grant(pool_endpoint &endpoint, const waiting_entry &entry, monotonic_time now);
    /** Sets the start time of the requests that have got a worker slot. */
    void markRunning(pool_endpoint &endpoint, monotonic_time now);
    /** Current run time of requests as a multiple of their typical run time. */
    double slowness(const pool_endpoint &endpoint, monotonic_time now) const;
    pool_throughput throughput(monotonic_time now) const;
    /** Time until a request with @p requestsAhead before it can be sent. */
    static time_span expectedWait(const pool_throughput &present, double requestsAhead, time_span typicalRunTime, monotonic_time now);
    void releaseExpired(monotonic_time now);
    void refuseExpectedLate(std::vector<permit_decision> &decisions, monotonic_time now);
    /** Part of the useful time of a request in which its answer must not be expected. */
    static time_span admissionMargin(const waiting_entry &entry);
    /** Records that a request neither waits nor uses a permit any more. */
    void removePresent(const std::optional<request_fingerprint> &fingerprint);
    /** Ends the wait of a request that is refused, and returns the refusal. */
    refused_permit refuse(queue_ticket ticket, monotonic_time now);
    /** Time after which the caller should return, with a promise if possible. */
    time_span retryAfter(const waiting_entry &entry, monotonic_time now);
    /** Returns whether the pool's queue has requests of the same key that wait with @p entry. */
    bool waitsForOwnKey(const waiting_entry &entry) const;

    std::map<endpoint_incarnation, pool_endpoint> m_endpoints;
    /** Ejects no endpoint of the queue of an owner of keys, which has only one. */
    failure_detector m_failures;
    permit_queue m_queue;
    std::map<queue_ticket, waiting_entry> m_waiting;
    std::map<permit_holder, queue_ticket> m_tickets;
    std::map<permit_holder, used_permit> m_used;
    return_promises m_promises;
    /** Number of requests with each fingerprint that wait or use a permit. */
    std::map<request_fingerprint, std::uint32_t> m_present;
};

} // namespace sycamoretray
