#pragma once

#include "key_ownership/ownership_record.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sycamoretray
{

/** Identifies an order (grant, release or probe) sent to an endpoint; its outcome is reported to key_assigner::orderDone() with this id. */
using order_id = strong_value<struct order_id_tag, std::uint64_t>;

/** Writes the record to the metadata store. Report the outcome with key_assigner::recordWritten(). */
struct write_record {
    ownership_record record;
    std::uint64_t revision = 0;
};

/**
 * Grants keys to an endpoint, or renews an existing grant.
 *
 * A grant names the endpoint's id, but not its incarnation, and some endpoints do not read the id: another process at the address may accept the
 * grant. A token is therefore sent on one connection only, which reaches one process only.
 */
struct send_grant {
    order_id order;
    endpoint_incarnation endpoint;
    key_range keys;
    fencing_token token;
    /** Validity of the grant. */
    time_span length{};
    /** Connection on which the token was sent before; if nullopt, the token is new and may be sent on any connection. */
    std::optional<connection_number> connection;
    /** Handover data that the previous holder returned with its release; empty if there is none. */
    std::string handover;
};

/** Revokes keys from an endpoint. The endpoint answers when it has finished its requests for them. */
struct send_release {
    order_id order;
    endpoint_incarnation endpoint;
    key_range keys;
    fencing_token token;
};

/** Checks whether an unresponsive endpoint answers again. */
struct probe_endpoint {
    order_id order;
    endpoint_incarnation endpoint;
};

/** Writes a decision of the assigner to the event log. */
struct log_decision {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using assigner_action = std::variant<write_record, send_grant, send_release, probe_endpoint, log_decision>;

enum class order_outcome {
    accepted,
    /** The endpoint has seen a higher fencing token for one of the keys. */
    superseded,
    /** The endpoint rejected the order as invalid. */
    refused,
    /** Another process has the endpoint's address, and rejected the order. */
    misdirected,
    /** The order was sent, and its connection was reset before an answer arrived. The endpoint may have received it at any time until now. */
    unanswered,
    /** The order is known not to have been sent, because the endpoint cannot be reached. */
    unsent,
    /** The order was not sent, because its connection was lost or busy. Says nothing about the endpoint. */
    connection_lost,
};

/** What became of an order. */
struct order_reply {
    order_outcome outcome = order_outcome::unsent;
    /** Handover data that the endpoint returned with a release. */
    std::string handover;
    /** Connection on which the order was sent. */
    connection_number connection;
    /** The endpoint returned handover data that is not text, and which another endpoint cannot be given. */
    bool handoverUnreadable = false;
};

} // namespace sycamoretray
