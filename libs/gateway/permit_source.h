#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "directory/endpoint_entry.h"
#include "gateway/gateway_request.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamoretray
{

/** Identifies a permit among those that one instance asks for. */
using permit_id = strong_value<struct permit_id_tag, std::uint64_t>;

/** A request that waits for a place at an endpoint. */
struct permit_request {
    permit_id id;
    service_id service;
    /** The owner of the key, for a service that is divided by key; otherwise any endpoint of the zone will do. */
    std::optional<endpoint_life> owner;
    /** Zone whose endpoints may be used, if there is no owner. */
    availability_zone zone;
    /** Set for a service that is divided by key: keys of one owner take turns. */
    std::optional<key_number> key;
    /** Rank; 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** Time that an endpoint of usual speed takes for the request. */
    time_span usual{};
    /** The permit is refused if the answer is not expected within this time. */
    time_span useful{};
    /** Endpoints that are used only if there is no other. */
    std::vector<endpoint_id> tried;
};

/** How the use of a permit ended. */
struct permit_result {
    /** False if nothing was sent, or if the attempt was given up before its outcome was known. */
    bool finished = false;
    reply_kind kind = reply_kind::failed;
    bool sent = true;
    bool misdirected = false;
    std::uint32_t status = 0;
    std::optional<endpoint_load> load;
};

/**
 * Grants places at endpoints, so that instances which do not know of each other do not overfill them.
 *
 * The outcome of ask() goes to gateway::permitGranted(), permitRefused() or permitUnavailable(), never from within the call.
 */
class permit_source
{
public:
    virtual ~permit_source() = default;

    /** False if requests are to be sent without permits: there are few instances, or nobody can be asked. */
    virtual bool isUsed(const permit_request &request) const = 0;

    virtual void ask(const permit_request &request, monotonic_time now) = 0;

    /** Ends the wait for a permit, or the use of one. */
    virtual void giveBack(permit_id permit, const permit_result &result, monotonic_time now) = 0;
};

} // namespace sycamoretray
