#pragma once

#include "directory/endpoint_directory.h"
#include "endpoint_speed/failure_detector.h"
#include "endpoint_speed/momentary_speed.h"
#include "gateway/cold_request_limit.h"
#include "gateway/endpoint_request_limit.h"
#include "gateway/gateway_request.h"

#include <cstdint>
#include <optional>

namespace sycamoretray
{

/** Whether other instances send to the same endpoint. */
enum class sender_mode {
    /** Many instances send to the endpoint without coordination. */
    one_of_many_senders,
    /** All requests to the endpoint pass this limiter, so it knows all that are in flight. */
    sole_sender,
};

/**
 * Limits the requests that one instance has in flight at one endpoint, and estimates how long requests take there.
 *
 * An endpoint queues only a few requests. If every instance sends to every endpoint, an instance therefore has only one request
 * in flight, and more only while a recent load report shows free worker slots. A sole sender fills all worker slots and keeps one
 * more request in flight, so that a worker slot does not idle for the round trip between an answer and the next request.
 *
 * Thread safety: none.
 */
class endpoint_limiter
{
public:
    explicit endpoint_limiter(const listed_endpoint &endpoint, sender_mode use = sender_mode::one_of_many_senders);

    void update(const listed_endpoint &endpoint);

    /**
     * Sets the rate to which requests are limited while the endpoint is cold; nothing if its service states none. Call it after each update() and
     * with each change of the rate.
     */
    void limitWhileCold(std::optional<request_rate> rate, monotonic_time now);

    /** Sets whether all requests to the endpoint pass this limiter, also those of instances that need no permits; false by default. */
    void setCountsAllRequests(bool countsAll);

    /** False after the endpoint's entry was removed. */
    bool isListed() const noexcept;
    void unlist();

    const endpoint_entry &entry() const noexcept;

    /** False while the endpoint is draining or its zone is evacuated; see acceptsNewWork(). */
    bool acceptsNewWork() const noexcept;

    /** True if a request that is not bound to the endpoint by its key may be sent now. */
    bool takesNewWork(monotonic_time now) const noexcept;

    /** True if a request may be sent now. */
    bool hasCapacity(monotonic_time now) const noexcept;

    /** End of the backoff after a failure, of the wait for the request limit, or of the pause: hasCapacity() is false before. */
    monotonic_time blockedUntil() const noexcept;

    /** End of the time for which the endpoint wants no request from this instance: hasCapacity() is false before. */
    monotonic_time pausedUntil() const noexcept;

    std::uint32_t inFlight() const noexcept;

    /** Request limit that the endpoint names, if any. */
    const std::optional<request_rate> &requestLimit() const noexcept;

    /** What other instances may be told of the request limit. */
    std::optional<known_request_limit> knownRequestLimit(monotonic_time now) const;

    /** Records what another instance knows of the request limit. */
    void recordKnownLimit(const known_request_limit &known, monotonic_time now);

    /** Requests a second that may be sent from here; nothing if the endpoint names no limit and is not limited because it is cold. */
    std::optional<request_rate> usableRate(monotonic_time now) const noexcept;

    /** Returns whether requests are limited at present because the endpoint is cold. */
    bool isLimitedWhileCold(monotonic_time now) const noexcept;

    /** Sets in which role the limits are used; by default first_coordinator for a sole sender, otherwise single_instance. */
    void setLimitRole(limit_role role);

    /** Sets the number of instances that may send to the endpoint without coordination. */
    void setInstances(std::uint32_t instances);

    /** Estimated number of requests at the endpoint, including those of other instances. */
    double estimatedLoad(monotonic_time now) const noexcept;

    /** Lasting ratio of the time to an answer, retries included, to the typical run time. */
    double slowness() const noexcept;

    /** Lasting ratio of the run time to the typical run time, without retries. */
    double runSlowness(monotonic_time now) const noexcept;

    /** Ratio of the run time at this moment to the lasting one, as the endpoint reports it; 1 if it does not. */
    double momentarySlowness(monotonic_time now) const noexcept;

    /** Like slowness(), but higher while the endpoint is cold after its start. */
    double currentSlowness(monotonic_time now) const noexcept;

    /** Factor by which waiting for a worker slot lengthens a further request; 1 if it does not wait. */
    double queueFactor(monotonic_time now) const noexcept;

    /** Expected time from sending to the answer of a request with the given typical run time. */
    time_span expectedTime(time_span typicalRunTime, monotonic_time now) const noexcept;

    void sent(monotonic_time now);

    /**
     * Records the answer to a request.
     *
     * @param taken  time since it was sent; for a sole sender without the time that it waited at the endpoint
     * @param typicalRunTime  typical run time of this kind of request
     */
    void answered(const endpoint_reply &reply, time_span taken, time_span typicalRunTime, monotonic_time now);

    /** Records that a request was refused or failed. */
    void failed(const endpoint_reply &reply, monotonic_time now);

    /** Records that a request was aborted. @param ran  time that a worker slot is known to have spent on it, or zero */
    void aborted(time_span ran, time_span typicalRunTime);

    /**
     * Moves the learned slowness by @p share of the way to that of a typical endpoint, unless a request in flight will show it. Without this, an
     * estimate that is too high by chance lasts, because an endpoint that is not chosen is not measured.
     */
    void forgetSlowness(double share) noexcept;

private:
    double knownSlowness() const noexcept;
    double coldFactor(monotonic_time now) const noexcept;
    void countOutcome(bool failure);
    void recordRequestLimit(const endpoint_reply &reply, monotonic_time now);
    void recordLoadReport(const endpoint_reply &reply, monotonic_time now);
    bool hasFreshReport(monotonic_time now) const noexcept;

    sender_mode m_use;
    endpoint_entry m_entry;
    monotonic_time m_coldUntil{};
    /** The endpoint is cold since it started, not because it became cold later. */
    bool m_coldSinceStart = false;
    bool m_listed = true;
    bool m_acceptsNewWork = true;
    endpoint_request_limit m_requestLimit;
    cold_request_limit m_coldLimit;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_consecutiveFailures = 0;
    /** Consecutive requests that the endpoint refused because it was full. */
    std::uint32_t m_consecutiveFull = 0;
    monotonic_time m_blockedUntil{};
    monotonic_time m_pausedUntil{};
    bool m_hasAnswered = false;
    double m_slowness = 1;
    /** Share of failed requests, as an exponential moving average. */
    double m_failureShare = 0;
    momentary_speed m_momentarySpeed;
    endpoint_load m_loadReport;
    /** Requests of this instance that m_loadReport includes. */
    std::uint32_t m_ownInLoadReport = 0;
    std::optional<monotonic_time> m_loadReportedAt;
    /** Requests sent since the load report minus those that ended. */
    int m_inFlightChangeSinceReport = 0;
};

/** Returns what the outcome of an attempt shows about the endpoint. Thread-safe. */
attempt_outcome outcomeOf(const endpoint_reply &reply) noexcept;

} // namespace sycamoretray
