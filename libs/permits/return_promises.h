#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "permits/permit_queue.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace sycamoretray
{

/** What became of a promise. */
enum class promise_outcome {
    made,
    /** The request returned in time and got a permit. */
    kept,
    /** The request returned in time and was refused again. */
    broken,
    /** The request returned before its time. */
    early,
    /** The request did not return in time, or the promise was dropped because there were too many. */
    unused,
};

/** Name of the outcome, as in metrics. Thread-safe. */
std::string_view toString(promise_outcome outcome) noexcept;

/** A refused request whose caller may return. */
struct refused_request {
    request_fingerprint fingerprint;
    std::uint32_t priority = 0;
    /** Set if the request waits for other requests for the same key. */
    std::optional<key_number> bottleneckKey;
    /** Time for which the caller still waits for an answer. */
    time_span callerTimeLeft{};
};

/**
 * Remembers the refused requests of one queue until their callers may return, and promises places to some of them.
 *
 * A request that returns as told to a promised place goes before new ones; one that returns sooner goes after them. Promises are spaced by the
 * rate at which the queue grants permits to requests of the same priority, and of the same key if that is the bottleneck. Only a part of that
 * rate is promised, so that new requests are served as well.
 *
 * A caller returns only after its request was refused. If a request arrives while one with the same fingerprint is present, the fingerprint
 * identifies several requests of a caller, and is ignored for some time.
 *
 * Thread safety: none.
 */
class return_promises
{
public:
    /** Sets a callback for each outcome of a promise; none by default. */
    void setObserver(std::function<void(promise_outcome)> observer);

    /** Records that a request got a permit. */
    void recordGrant(std::uint32_t priority, std::optional<key_number> key, monotonic_time now);

    /** Records the refusal of a request and returns the time after which it should return: that of a promised place if one is free in time. */
    time_span refused(const refused_request &request, monotonic_time now);

    /**
     * Returns the standing of a request that arrives, and ends its promise if it arrives too early.
     *
     * @param present  whether a request with this fingerprint waits for a permit or uses one
     */
    queue_standing arrived(request_fingerprint fingerprint, bool present, monotonic_time now);

    /** Forgets the refusal of a request that gets a permit. */
    void granted(request_fingerprint fingerprint);

    /** Makes the promise to a returning request available to its next try, because this one was withdrawn without a decision. */
    void withdrawn(request_fingerprint fingerprint);

    /** Removes promises whose time has passed. */
    void expire(monotonic_time now);

    std::size_t size() const noexcept;

private:
    enum class refusal_state {
        /** A place is promised. */
        promised,
        /** The request has returned to its place and is being decided on. */
        returned,
        /** No place is promised. */
        unpromised,
        /** The fingerprint identifies several requests. */
        ambiguous,
    };
    struct refusal {
        monotonic_time made{};
        /** A request that arrives sooner is early. */
        monotonic_time from{};
        monotonic_time until{};
        refusal_state state = refusal_state::unpromised;
    };
    struct flow_id {
        std::uint32_t priority = 0;
        std::optional<key_number> key;
        friend auto operator<=>(const flow_id &, const flow_id &) = default;
    };
    /** Requests that are granted permits at a common rate. */
    struct flow {
        /** Number of grants, of which older ones have less weight. */
        double grants = 0;
        monotonic_time updated{};
        /** Time after which the next place can be promised. */
        monotonic_time bookedUntil{};

        void decay(monotonic_time now);
    };
    using refusal_map = std::map<request_fingerprint, refusal>;

    /** Time of the next place in the flow that can be promised; nothing if it is granted no permits. */
    static std::optional<monotonic_time> nextPlace(flow &subject, monotonic_time now);
    /** Books a place and returns the time until it; nothing if none is free before the caller returns. */
    std::optional<time_span> book(const refused_request &request, time_span longestWait, monotonic_time now);
    /** Sets the state, and reports @p outcome if that ends a promise. */
    void change(refusal &subject, refusal_state state, promise_outcome outcome) const;
    refusal &insert(request_fingerprint fingerprint);
    void notify(promise_outcome outcome) const;

    std::function<void(promise_outcome)> m_observer;
    refusal_map m_refusals;
    std::map<flow_id, flow> m_flows;
    monotonic_time m_nextExpiry{};
};

} // namespace sycamoretray
