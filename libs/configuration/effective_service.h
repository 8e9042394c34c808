#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sycamoretray
{

/** The key is the path segment with this index. Index 0 is the segment after the leading slash. */
struct path_segment_key {
    std::uint32_t index = 0;
    friend bool operator==(const path_segment_key &, const path_segment_key &) = default;
};

/** The key is the value of the header field with this name. */
struct header_key {
    std::string name;
    friend bool operator==(const header_key &, const header_key &) = default;
};

using key_location = std::variant<path_segment_key, header_key>;

/** Defines a class of requests: those with this method and a path that starts with this prefix. */
struct request_rule {
    std::string name;
    std::string method;
    std::string pathPrefix;
    bool nonIdempotent = false;
    friend bool operator==(const request_rule &, const request_rule &) = default;
};

struct endpoint_definition {
    server_id server;
    network_address address;
    availability_zone zone;
    std::uint32_t workerSlots = 2;
    bool checksTokens = true;
    friend bool operator==(const endpoint_definition &, const endpoint_definition &) = default;
};

struct service_limits {
    std::uint64_t bodyBytes = 1024ULL * 1024;
    time_span defaultDeadline = std::chrono::seconds(30);
    time_span leaveLimit = std::chrono::seconds(30);
    std::uint32_t connectionsPerEndpoint = 100;
    std::uint32_t queuedRequests = 1024;
    std::uint64_t queuedBytes = 16ULL * 1024 * 1024;
    friend bool operator==(const service_limits &, const service_limits &) = default;
};

/** A service of one team: a service of a template, instantiated with the team's parameters. */
struct effective_service {
    service_id name;
    team_id team;
    std::string pathPrefix;
    bool dividedByKey = true;
    key_location keyLocation;
    /** Header field that identifies the customer for fair queueing; empty if customers are not distinguished. */
    std::string customerHeader;
    std::vector<request_rule> rules;
    std::vector<endpoint_definition> endpoints;
    service_limits limits;
    friend bool operator==(const effective_service &, const effective_service &) = default;
};

} // namespace sycamoretray
