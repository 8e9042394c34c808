#pragma once

#include "key_ownership/ownership_record.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sycamoretray
{

/** Identifies an order to an endpoint, so that its outcome can be told to the assigner. */
using order_id = strong_value<struct order_id_tag, std::uint64_t>;

/** Store the record; the outcome goes to key_assigner::recordWritten(). */
struct write_record {
    ownership_record record;
    std::uint64_t revision = 0;
};

/** Grant keys to an endpoint, or renew the grant. */
struct send_grant {
    order_id order;
    endpoint_life endpoint;
    key_range keys;
    fencing_token token;
    time_span length{};
    /** What the last holder returned with its release; empty if there is none. */
    std::string handover;
};

/** Take keys back from an endpoint. It answers when its work on them has ended. */
struct send_release {
    order_id order;
    endpoint_life endpoint;
    key_range keys;
    fencing_token token;
};

/** Find out whether an endpoint that did not answer can be reached again. */
struct probe_endpoint {
    order_id order;
    endpoint_life endpoint;
};

/** A decision for the event log. */
struct note_decision {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using assigner_action = std::variant<write_record, send_grant, send_release, probe_endpoint, note_decision>;

enum class order_outcome {
    accepted,
    /** The endpoint has seen a higher token on one of the keys. */
    superseded,
    /** The endpoint refuses the order as invalid. */
    refused,
    /** The order was sent and its connection closed by a reset without an answer; it may have arrived up to now. */
    unanswered,
    /** The order was certainly not sent. */
    unsent,
};

} // namespace sycamoretray
