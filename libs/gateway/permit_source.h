#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "directory/endpoint_entry.h"
#include "gateway/endpoint_request_limit.h"
#include "gateway/gateway_request.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamoretray
{

/** Identifies a permit among those that one instance requests. */
using permit_id = strong_value<struct permit_id_tag, std::uint64_t>;

/** Request for a permit to use a slot at an endpoint. */
struct permit_request {
    permit_id id;
    service_id service;
    /** Owner of the key, for a service that is divided by key; if not set, any endpoint of the zone is used. */
    std::optional<endpoint_incarnation> owner;
    /** Zone whose endpoints may be used; ignored if there is an owner. */
    availability_zone zone;
    /** Set for a service that is divided by key; the keys of one owner are served in turn. */
    std::optional<key_number> key;
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** Typical run time of this kind of request. */
    time_span typicalRunTime{};
    /** Time within which the answer is useful; the permit is refused if a later answer is expected. */
    time_span maxAnswerTime{};
    /**
     * Identifies the caller's request, the same for its first try and its retries at any instance; nothing if the sender does not state it.
     */
    std::optional<request_fingerprint> fingerprint;
    /**
     * Time for which the caller still waits for an answer, if it is told of a refusal; nothing if it is not told, because another zone is asked
     * next, or if the sender does not state it.
     */
    std::optional<time_span> callerTimeLeft;
    /** The request may run twice, so that a failed attempt can be repeated. */
    bool idempotent = false;
    /** Endpoints that were tried before; used only if there is no other. */
    std::vector<endpoint_id> triedEndpoints;
    /** An endpoint that may be used names a request limit, which the instances can keep only together. Not passed to the coordinator. */
    bool limited = false;
    /** What this instance knows of the request limit of the owner. */
    std::optional<known_request_limit> ownerLimit;
    /** Role of the coordinator that is asked, set by the permit client. */
    limit_role role = limit_role::first_coordinator;
};

/** Outcome of the attempt for which a permit was used. */
struct permit_result {
    /** False if nothing was sent, or if the attempt was aborted before its outcome was known. */
    bool finished = false;
    reply_kind kind = reply_kind::failed;
    /** False if nothing was sent, or if it is unknown whether anything reached the endpoint; the attempt then says nothing about it. */
    bool sent = true;
    bool misdirected = false;
    std::uint32_t status = 0;
    std::optional<endpoint_load> load;
    /** Request limit that the endpoint named in its response. */
    std::optional<request_rate> requestLimit;
    /** The attempt was aborted because there was no answer for far longer than is typical, until the time of the request was over. */
    bool timedOut = false;
};

/**
 * Grants slots at endpoints, so that instances that send independently of each other do not overload them.
 *
 * The outcome of ask() is passed to gateway::permitGranted(), permitRefused() or permitUnavailable(), but never from within ask().
 */
class permit_source
{
public:
    virtual ~permit_source() = default;

    /** False if the request is sent without a permit: no coordinator can be asked, or there are few instances and no request limit. */
    virtual bool isUsed(const permit_request &request) const = 0;

    virtual void ask(const permit_request &request, monotonic_time now) = 0;

    /** Withdraws the request for a permit, or returns a granted permit. */
    virtual void giveBack(permit_id permit, const permit_result &result, monotonic_time now) = 0;
};

} // namespace sycamoretray
