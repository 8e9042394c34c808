#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "directory/endpoint_entry.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

/** Number of different keys of a service divided by key. */
inline constexpr std::uint32_t keyCount = 65536;

/** Keys from first to last, both included. */
struct key_range {
    std::uint32_t first = 0;
    std::uint32_t last = keyCount - 1;
    friend bool operator==(const key_range &, const key_range &) = default;
};

/** Who holds a range of keys, and who may still hold it. */
struct key_assignment {
    key_range keys;
    /** The endpoint that is to hold the keys; empty if there is none. */
    endpoint_life owner;
    /** Token of the grant to the owner; higher than that of any earlier grant of these keys. */
    fencing_token token;
    /** Lives that may hold the keys by an earlier grant. The owner is granted nothing before each of them was cleared. */
    std::vector<endpoint_life> otherHolders;
    /** Token of releases by the other holders; between their tokens and the owner's. */
    fencing_token releaseToken;
    /** The owner accepted the grant, and nobody else holds the keys. */
    bool settled = false;
    /** How long the keys stay unserved because a holder that does not answer has to lapse, when the record was written; else 0. */
    time_span lapse{};

    friend bool operator==(const key_assignment &, const key_assignment &) = default;
};

/** Ownership of all keys of one service. The metadata store holds it as a header and parts, see ownership_parts.h. */
struct ownership_record {
    service_id service;
    /** Producer epoch of the assigner that wrote the record. */
    std::uint64_t epoch = 0;
    /** Counts the records of one epoch. */
    std::uint64_t revision = 0;
    /** Internal address of that assigner, to which load reports go. */
    network_address assigner;
    /** The assigner has stopped: no grants are sent on this record any more. */
    bool resigned = false;
    /** Length of the grants that the assigner sends. */
    time_span grantLength{};
    /** Instances that reported to the assigner. */
    std::uint32_t instances = 1;
    /** Lowest token that was never used. */
    std::uint64_t nextToken = 1;
    /** Ordered by key; covers every key once. */
    std::vector<key_assignment> assignments;
};

/** Encodes everything but the assignments as CBOR. Thread-safe. */
std::string encodeOwnershipHeader(const ownership_record &record);

/** Decodes a header into a record without assignments; nothing if @p data is malformed. Thread-safe. */
std::optional<ownership_record> decodeOwnershipHeader(std::string_view data);

/** Encodes consecutive assignments as a CBOR document. Thread-safe. */
nlohmann::json encodeAssignments(const std::vector<key_assignment> &assignments);

/** Decodes assignments, the first of which begins with the key @p first. Throws nlohmann::json::exception. Thread-safe. */
std::vector<key_assignment> decodeAssignments(const nlohmann::json &document, std::uint32_t first);

} // namespace sycamoretray
