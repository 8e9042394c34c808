#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "controller/controller_events.h"
#include "routing/routing_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace sycamoretray
{

enum class log_stream {
    control,
    snapshots,
};

/** Reads from a stream. Answered by log_read_result. wait is how long the log service may hold the reply while there is no new record. */
struct read_log {
    operation_id operation;
    log_stream stream = log_stream::control;
    log_offset from;
    time_span wait{};
    std::uint32_t maxRecords = 1000;
};

/** Appends to a stream; the records get consecutive offsets. Answered by append_result. */
struct append_records {
    operation_id operation;
    log_stream stream = log_stream::control;
    std::vector<std::string> records;
};

struct send_peer {
    incarnation_id to;
    network_address address;
    /** Serialized pb::PeerMessage. */
    std::string message;
};

/** Slots and hot keys that a server owns. */
struct ownership_set {
    /** Grows with each change within a home term. */
    std::uint64_t version = 0;
    std::vector<hash_slot> slots;
    /** Hot keys that the server owns although another server owns their slot. */
    std::vector<std::string> extraKeys;
    /** Keys of owned slots that another server owns. */
    std::vector<std::string> exceptKeys;
};

/** Lease request to a server. Answered by lease_reply or lease_failed. */
struct send_lease {
    operation_id operation;
    server_id server;
    network_address address;
    home_term term;
    /** From the newest reply; empty at the first contact, whose reply carries a challenge and grants no lease. */
    std::string challenge;
    time_span length{};
    std::uint64_t ownershipVersion = 0;
    /** Null if the server already has this version. */
    std::shared_ptr<const ownership_set> ownership;
    time_span timeout{};
};

/** The worker threads must use this table from now on. */
struct routing_changed {
    std::shared_ptr<const routing_table> table;
};

/** This instance is home of the server: it may dispatch until the matching close_dispatch, but only before the time of dispatch_valid_until. */
struct open_dispatch {
    server_id server;
    home_term term;
    endpoint_definition endpoint;
};

/** Sets the time until which the dispatcher may send requests to the server. */
struct dispatch_valid_until {
    server_id server;
    home_term term;
    monotonic_time validUntil;
};

enum class dispatch_close_reason {
    home_lost,
    handover,
    server_removed,
    stopping,
};

/** No more requests may be sent to the server. If newHome is not empty, it receives the queued requests. */
struct close_dispatch {
    server_id server;
    dispatch_close_reason reason = dispatch_close_reason::home_lost;
    incarnation_id newHome;
};

/** Keeps requests for these slots queued. Answered by dispatch_idle once none is in flight. */
struct hold_slots {
    operation_id operation;
    server_id server;
    std::vector<hash_slot> slots;
};

/** Ends hold_slots: queued requests for these slots are routed to this server or to the new owner in the current routing table. */
struct release_slots {
    server_id server;
    std::vector<hash_slot> slots;
};

/** Final answer to an administration event. */
struct publish_outcome {
    operation_id operation;
    std::error_code error;
    /** The version in force; after a version conflict, that of the document that was published first. */
    std::uint64_t version = 0;
    std::string message;
};

/** Whether this instance may accept new requests from callers, and if not, the result code of the refusal. */
struct accept_callers {
    bool accept = true;
    result_code reason = result_code::ok;
};

/** The graceful shutdown is complete; the process may exit. */
struct stop_finished {
};

/** One event for the log: name and key=value fields. */
struct emit_event {
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

using controller_action = std::variant<read_log,
                                       append_records,
                                       send_peer,
                                       send_lease,
                                       routing_changed,
                                       open_dispatch,
                                       dispatch_valid_until,
                                       close_dispatch,
                                       hold_slots,
                                       release_slots,
                                       publish_outcome,
                                       accept_callers,
                                       stop_finished,
                                       emit_event>;

} // namespace sycamoretray
