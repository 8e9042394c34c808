#pragma once

#include "base/strong_value.h"

#include <cstdint>
#include <string>

namespace sycamoretray
{

/** Name of an instance as written in its settings. It stays the same across restarts. */
using instance_id = strong_value<struct instance_id_tag, std::string>;

/** One life of an instance: "<instance_id>#<random hex>". A restarted instance has another one. */
using incarnation_id = strong_value<struct incarnation_id_tag, std::string>;

using availability_zone = strong_value<struct availability_zone_tag, std::string>;
using service_id = strong_value<struct service_id_tag, std::string>;
using team_id = strong_value<struct team_id_tag, std::string>;
using customer_id = strong_value<struct customer_id_tag, std::string>;

/** A server: "<service_id>/<endpoint name>", unique in a deployment. */
using server_id = strong_value<struct server_id_tag, std::string>;

/** Name of an endpoint in the platform's directory. It may name several lives of the endpoint, one after another. */
using endpoint_id = strong_value<struct endpoint_id_tag, std::string>;

/** Number from 0 to 65535 that a request to a service divided by key carries; ownership is granted for ranges of it. */
using key_number = strong_value<struct key_number_tag, std::uint16_t>;

/** IPv4 or IPv6 number and port, "127.0.0.1:8080". */
using network_address = strong_value<struct network_address_tag, std::string>;

using request_id = strong_value<struct request_id_tag, std::string>;

/** Position of a record in a stream of the log service. */
using log_offset = strong_value<struct log_offset_tag, std::uint64_t>;

/** Offset of the home_claimed record by which an instance became home; 0 means that there is no home. */
using home_term = strong_value<struct home_term_tag, std::uint64_t>;

/** Offset of the record that assigned a hash slot; it only grows. */
using fencing_token = strong_value<struct fencing_token_tag, std::uint64_t>;

/** One of the hashSlotCount parts of a service's key space. */
using hash_slot = strong_value<struct hash_slot_tag, std::uint16_t>;

inline constexpr std::uint32_t hashSlotCount = 16384;

} // namespace sycamoretray
