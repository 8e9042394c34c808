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

/** Number of keys of a service whose requests are divided by key. */
inline constexpr std::uint32_t keyCount = 65536;

/**
 * Number of fencing tokens that are reserved for the grants to the owner of a range. A grant that may reach another process than the one before
 * takes the next of them, without a write to the store.
 */
inline constexpr std::uint32_t tokensPerAssignment = 256;

/** Range of keys from first to last, inclusive. */
struct key_range {
    std::uint32_t first = 0;
    std::uint32_t last = keyCount - 1;
    friend bool operator==(const key_range &, const key_range &) = default;
};

/** Owner of a range of keys, and other endpoints that may still hold it. */
struct key_assignment {
    key_range keys;
    /** The endpoint to which the keys are assigned; empty if there is none. */
    endpoint_incarnation owner;
    /** First of the tokensPerAssignment fencing tokens reserved for grants to the owner; higher than that of any earlier grant of these keys. */
    fencing_token token;
    /** Incarnations that may hold the keys by an earlier grant. The owner is granted the keys only after all of them hold nothing. */
    std::vector<endpoint_incarnation> otherHolders;
    /** Fencing token of release orders to the other holders; between their grant tokens and the owner's. */
    fencing_token releaseToken;
    /** The owner accepted the grant, and no other endpoint holds the keys. */
    bool settled = false;
    /** How long the keys stay unserved, from the time the record was written, until the grant of an unresponsive holder expires; else 0. */
    time_span unservedFor{};

    friend bool operator==(const key_assignment &, const key_assignment &) = default;
};

/** Ownership of all keys of one service. The metadata store holds it as a header and parts, see ownership_parts.h. */
struct ownership_record {
    service_id service;
    /** Producer epoch of the assigner that wrote the record. */
    std::uint64_t epoch = 0;
    /** Number of the record within its epoch. */
    std::uint64_t revision = 0;
    /** Internal address of that assigner, to which load reports are sent. */
    network_address assigner;
    /** The assigner has stopped, and neither it nor an earlier one sends grants. */
    bool resigned = false;
    /** The assigner has stopped, but an earlier one may send grants. Older versions take it for an assigner that goes on. */
    bool stopped = false;
    /**
     * Earlier assigners that may still send grants; an empty address stands for those that are not known by address. Missing in records of versions
     * that did not write them.
     */
    std::optional<std::vector<network_address>> earlierAssigners = std::vector<network_address>();
    /** Validity of the grants that the assigner sends. */
    time_span grantLength{};
    /** Number of instances with a recent load report. */
    std::uint32_t instances = 1;
    /** Lowest unused fencing token. */
    std::uint64_t nextToken = 1;
    /** Ordered by key; covers every key exactly once. */
    std::vector<key_assignment> assignments;
};

/** Encodes @p record without its assignments as CBOR. Thread-safe. */
std::string encodeOwnershipHeader(const ownership_record &record);

/** Decodes a header into a record without assignments. Returns nullopt if @p data is malformed. Thread-safe. */
std::optional<ownership_record> decodeOwnershipHeader(std::string_view data);

/** Encodes consecutive assignments as a document to be written as CBOR. Thread-safe. */
nlohmann::json encodeAssignments(const std::vector<key_assignment> &assignments);

/** Decodes consecutive assignments, starting at the key @p first. Throws nlohmann::json::exception if malformed. Thread-safe. */
std::vector<key_assignment> decodeAssignments(const nlohmann::json &document, std::uint32_t first);

} // namespace sycamoretray
