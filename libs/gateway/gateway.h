#pragma once

#include "directory/endpoint_directory.h"
#include "directory/request_routes.h"
#include "gateway/gateway_request.h"
#include "gateway/permit_source.h"
#include "gateway/retry_allowance.h"
#include "key_ownership/key_load.h"
#include "key_ownership/ownership_view.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sycamoretray
{

/** Identifies a request within a gateway. */
using gateway_request_id = strong_value<struct gateway_request_id_tag, std::uint64_t>;

/** Identifies one attempt at an endpoint. */
using endpoint_attempt_id = strong_value<struct endpoint_attempt_id_tag, std::uint64_t>;

/** Sends requests to endpoints. */
class endpoint_port
{
public:
    virtual ~endpoint_port() = default;

    /**
     * Sends @p request to @p endpoint. The outcome goes to gateway::replied(), never from within this call.
     *
     * @param timeLeft  time after which the attempt is given up
     */
    virtual void send(endpoint_attempt_id attempt, const endpoint_entry &endpoint, const gateway_request &request, time_span timeLeft) = 0;

    /** Gives up an attempt and closes its connection, so that the endpoint stops working on it. There is no outcome. */
    virtual void abort(endpoint_attempt_id attempt) = 0;
};

struct gateway_settings {
    instance_id instance;
    availability_zone zone;
    retry_allowance_settings retries;
    /** Time for which a leaving endpoint still gets requests for keys that it holds; less than what the deployment allows. */
    time_span drainTime = std::chrono::milliseconds(1300);
    /** Requests that wait at one time; beyond it new ones are refused. */
    std::size_t mostWaiting = 4096;
    /** Ids of permits start above this number. It differs between the processes of an instance, whose keepers still know those of an earlier one. */
    std::uint64_t firstPermit = 0;
};

/** A decision that touched a request, for the event log. */
using gateway_log = std::function<void(std::string_view event, const std::vector<std::pair<std::string, std::string>> &fields)>;

/**
 * Decides about callers' requests: to which endpoint each is sent and when, whether it is repeated, and what the caller is told.
 *
 * Time and events come in, requests go out through an endpoint_port; there is no other I/O. Thread safety: none.
 */
class gateway
{
public:
    gateway(gateway_settings settings, endpoint_port &port, gateway_log log);
    ~gateway();
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;

    /** Requests are sent with permits of @p source wherever it is used. Call it before the first submit(). */
    void setPermits(permit_source &source);

    /** Sets how many instances share the allowance for repeats, at least. */
    void setInstances(std::uint32_t count);

    void setRoutes(std::shared_ptr<const request_routes> routes, monotonic_time now);
    void setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints, monotonic_time now);
    void setOwnership(const ownership_view &ownership, monotonic_time now);

    /**
     * Takes a request. @p answer is called once, possibly from within this call, unless the request is cancelled.
     *
     * @return an id for cancel()
     */
    gateway_request_id submit(gateway_request request, std::function<void(gateway_answer)> answer, monotonic_time now);

    /** The caller has gone. */
    void cancel(gateway_request_id request, monotonic_time now);

    void replied(endpoint_attempt_id attempt, endpoint_reply reply, monotonic_time now);

    /** The request that asked for @p permit may be sent. */
    void permitGranted(permit_id permit, const endpoint_id &endpoint, std::uint64_t startedAtMs, monotonic_time now);

    /** The request that asked for @p permit cannot be answered in time. */
    void permitRefused(permit_id permit, time_span retryAfter, monotonic_time now);

    /** Nobody decides about @p permit, so that the request is sent without. */
    void permitUnavailable(permit_id permit, monotonic_time now);

    /** Does what is due. Call it at nextDue(). */
    void advance(monotonic_time now);

    /** Time of the next call to advance(), which may be in the past; the maximum if nothing is due. */
    monotonic_time nextDue() const;

    /** Answers every unfinished request: instance_stopping if it was not sent, else that its outcome is unknown. */
    void finishAll(monotonic_time now);

    /** Requests that have not been answered. */
    std::size_t unfinished() const noexcept;

    /** Returns what was asked for and how endpoints did since the last call. */
    std::vector<load_report> takeLoadReports();

    /** Returns the state as JSON. */
    std::string dump(monotonic_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
