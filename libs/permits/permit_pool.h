#pragma once

#include "directory/endpoint_directory.h"
#include "gateway/endpoint_gate.h"
#include "gateway/permit_source.h"
#include "permits/permit_queue.h"

#include <list>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace sycamoretray
{

/** Which instance asked for a permit, and how it calls it. */
struct permit_holder {
    network_address instance;
    permit_id id;
    friend auto operator<=>(const permit_holder &, const permit_holder &) = default;
};

/** A permit for an endpoint was granted. */
struct granted_permit {
    permit_holder holder;
    endpoint_life endpoint;
};

/** A permit is refused, because the answer would come too late. */
struct refused_permit {
    permit_holder holder;
    time_span retryAfter{};
};

using permit_decision = std::variant<granted_permit, refused_permit>;

/**
 * The queue for endpoints that can replace each other: the owner of some keys alone, or those of a service in one zone.
 *
 * An endpoint has as many requests under way as it has worker slots, and one more that hides the way between the instances.
 * What waits is refused as soon as it cannot be answered within the time in which the answer is of use.
 *
 * Thread safety: none.
 */
class permit_pool
{
public:
    /** Replaces the endpoints; what is known about those that stay is kept. */
    void setEndpoints(const std::vector<listed_endpoint> &endpoints);

    /** True if any endpoint may get requests. */
    bool hasEndpoints() const noexcept;

    /** Adds a request, which decide() then grants, refuses, or leaves waiting. */
    void ask(const permit_holder &holder, const permit_request &request, monotonic_time now);

    /** The holder still waits. Returns false if the pool does not know it as waiting. */
    bool refresh(const permit_holder &holder, monotonic_time now);

    /** The holder waits, or uses a permit. */
    bool knows(const permit_holder &holder) const;

    /** Endpoint of a permit that was granted and not given back. */
    std::optional<endpoint_life> granted(const permit_holder &holder) const;

    /** Ends the wait for a permit or the use of one. Unknown holders are ignored. */
    void giveBack(const permit_holder &holder, const permit_result &result, monotonic_time now);

    /** Returns what can be decided now. */
    std::vector<permit_decision> decide(monotonic_time now);

    /** Takes all waiting requests out, because another instance has to decide. */
    std::vector<permit_holder> takeWaiting();

    /** When decide() has to be called without another event; the maximum if never. */
    monotonic_time nextDue(monotonic_time now) const;

    bool isIdle() const noexcept;
    std::size_t waiting() const noexcept;
    std::size_t inUse() const noexcept;

private:
    struct waiting_entry {
        permit_holder holder;
        permit_request request;
        monotonic_time usefulUntil{};
        monotonic_time refreshed{};
    };
    struct used_permit {
        endpoint_life endpoint;
        time_span usual{};
        /** When a worker slot is thought to have begun with the request. */
        std::optional<monotonic_time> started;
        /** The permit is taken for lost then. */
        monotonic_time expires{};
    };
    struct pool_endpoint {
        explicit pool_endpoint(const listed_endpoint &listed);
        endpoint_gate gate;
        /** Permits in use, in the order in which they were granted. */
        std::list<permit_holder> used;
    };

    struct pool_speed {
        /** Worker slots, as many as would do the same work at usual speed. */
        double slots = 0;
        /** Slowness of the fastest endpoint. */
        double leastSlowness = 1;
    };

    pool_endpoint *choose(const permit_request &request, monotonic_time now);
    granted_permit grant(pool_endpoint &endpoint, const waiting_entry &entry, monotonic_time now);
    /** Marks the requests as begun that have a worker slot. */
    void startNext(pool_endpoint &endpoint, monotonic_time now);
    /** How much longer than usual requests take at present. */
    double slowness(const pool_endpoint &endpoint, monotonic_time now) const;
    pool_speed speed(monotonic_time now) const;
    void expire(monotonic_time now);
    void refuseLate(std::vector<permit_decision> &decisions, monotonic_time now);

    std::map<endpoint_life, pool_endpoint> m_endpoints;
    permit_queue m_queue;
    std::map<queue_ticket, waiting_entry> m_waiting;
    std::map<permit_holder, queue_ticket> m_tickets;
    std::map<permit_holder, used_permit> m_used;
};

} // namespace sycamoretray
