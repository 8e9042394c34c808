#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/result_code.h"
#include "configuration/document_kind.h"

#include <cstdint>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace sycamoretray
{

/** Identifies an I/O operation that the controller started. */
using operation_id = strong_value<struct operation_id_tag, std::uint64_t>;

struct log_entry {
    log_offset offset;
    /** Serialized pb::Record, or pb::SnapshotChunk in the snapshot stream. */
    std::string data;
};

/** Time has advanced. Delivered at least every 20 ms. */
struct tick {
};

/** Result of read_log or read_snapshots. */
struct log_read_result {
    operation_id operation;
    /** Start of the read on the local monotonic clock; evidence from this read has this time. */
    monotonic_time started;
    /** result_code::offset_expired if the log no longer has the first requested record; any other error means that the log is unavailable. */
    std::error_code error;
    std::vector<log_entry> entries;
    /** Earliest offset that the log still has. */
    log_offset earliest;
    /** Offset of the next append at the time when the read was answered. */
    log_offset end;
};

/** Result of append_records. error is append_failed if it is certain that nothing was appended, append_unknown otherwise. */
struct append_result {
    operation_id operation;
    std::error_code error;
    log_offset first;
};

/** An authenticated message from another instance. */
struct peer_received {
    incarnation_id from;
    /** Serialized pb::PeerMessage. */
    std::string message;
};

struct listed_instance {
    instance_id instance;
    incarnation_id incarnation;
    network_address peerAddress;
    bool leaving = false;
};

struct instance_list_result {
    std::vector<listed_instance> instances;
};

/** A server's reply to send_lease. */
struct lease_reply {
    server_id server;
    operation_id operation;
    /** False if the server refused the term as stale; highestTerm is then the highest term that it has seen. */
    bool accepted = true;
    home_term highestTerm;
    /** Term of the last lease that this boot of the server held before this request; 0 if it never held one. */
    home_term heldTerm;
    /** Opaque; returned with the next lease request, so that the server can compute the start of the lease on its own clock. */
    std::string challenge;
    std::string bootId;
    std::uint64_t ownershipVersion = 0;
    /** The server does not have the ownership set of that version and needs it in full. */
    bool ownershipMissing = false;
    bool draining = false;
};

/** No reply to send_lease within its timeout, or the connection was refused. */
struct lease_failed {
    server_id server;
    operation_id operation;
};

/** Answers hold_slots: none of the held slots has a request in flight any more. */
struct dispatch_idle {
    server_id server;
    operation_id operation;
};

/** Request rate of a hot key of a server whose home is this instance, as counted by the dispatcher. */
struct hot_key_report {
    server_id server;
    std::string key;
    double requestsPerSecond = 0;
    double serverRequestsPerSecond = 0;
};

/** An operator publishes a document. Answered by publish_outcome with the same operation. */
struct publish_requested {
    operation_id operation;
    document_kind kind = document_kind::template_document;
    std::string name;
    std::uint64_t baseVersion = 0;
    std::string document;
    std::string operatorName;
};

/** An operator sets or clears the draining of an endpoint. Answered by publish_outcome. */
struct drain_requested {
    operation_id operation;
    server_id server;
    bool draining = true;
    std::string operatorName;
};

/** An operator replaces confirmers that have failed by the given live instances. Answered by publish_outcome. */
struct confirmers_reset_requested {
    operation_id operation;
    std::vector<incarnation_id> incarnations;
    std::string operatorName;
};

/** Starts the graceful shutdown. Further events of this type have no effect. */
struct stop_requested {
};

using controller_event = std::variant<tick,
                                      log_read_result,
                                      append_result,
                                      peer_received,
                                      instance_list_result,
                                      lease_reply,
                                      lease_failed,
                                      dispatch_idle,
                                      hot_key_report,
                                      publish_requested,
                                      drain_requested,
                                      confirmers_reset_requested,
                                      stop_requested>;

} // namespace sycamoretray
