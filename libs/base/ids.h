#pragma once

#include "base/strong_value.h"

#include <cstdint>
#include <string>

namespace sycamoretray
{

/** Name of an instance from its settings. It does not change across restarts. */
using instance_id = strong_value<struct instance_id_tag, std::string>;

/** Incarnation of an instance, from process start to exit: "<instance_id>#<random hex>". Each restart creates a new one. */
using incarnation_id = strong_value<struct incarnation_id_tag, std::string>;

using availability_zone = strong_value<struct availability_zone_tag, std::string>;
using service_id = strong_value<struct service_id_tag, std::string>;
using team_id = strong_value<struct team_id_tag, std::string>;
using customer_id = strong_value<struct customer_id_tag, std::string>;

/** Id of a server: "<service_id>/<endpoint name>", unique in a deployment. */
using server_id = strong_value<struct server_id_tag, std::string>;

/** Name of an endpoint in the platform's directory. Successive incarnations of the endpoint share it. */
using endpoint_id = strong_value<struct endpoint_id_tag, std::string>;

/** Key from 0 to 65535 in a request to a service that is divided by key. Ownership is granted for ranges of keys. */
using key_number = strong_value<struct key_number_tag, std::uint16_t>;

/** IPv4 or IPv6 address and port, such as "127.0.0.1:8080" or "[::1]:8080". */
using network_address = strong_value<struct network_address_tag, std::string>;

/**
 * Number of a connection to an endpoint, unique in this process; 0 for none. A connection reaches one process only: the incarnation of the
 * endpoint that accepted it.
 */
using connection_number = strong_value<struct connection_number_tag, std::uint64_t>;

using request_id = strong_value<struct request_id_tag, std::string>;

/** Hash that identifies a request which is sent again, possibly with another id. */
using request_fingerprint = strong_value<struct request_fingerprint_tag, std::uint64_t>;

/** Position of a record in a stream of the log service. */
using log_offset = strong_value<struct log_offset_tag, std::uint64_t>;

/**
 * Number of times that the store has returned from an older copy of its contents. Records appended after the copy was made are lost then, and
 * their offsets are given out again, so that offsets are comparable only within one era.
 */
using store_era = strong_value<struct store_era_tag, std::uint64_t>;

/** Offset of the home_claimed record that made an instance the home; 0 if there is no home. */
using home_term = strong_value<struct home_term_tag, std::uint64_t>;

/** Offset of the record that assigned a hash slot; increases with each assignment. */
using fencing_token = strong_value<struct fencing_token_tag, std::uint64_t>;

/** One of the hashSlotCount partitions of a service's key space. */
using hash_slot = strong_value<struct hash_slot_tag, std::uint16_t>;

inline constexpr std::uint32_t hashSlotCount = 16384;

} // namespace sycamoretray
