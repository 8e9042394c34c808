#pragma once

#include "controller/append_queue.h"
#include "controller/peer_monitor.h"

#include <map>

namespace sycamoretray
{

/** Handles requests of operators: publishing of documents, draining of endpoints, reset of the confirmers. Thread safety: none. */
class configuration_publisher
{
public:
    configuration_publisher(controller_context &context, peer_monitor &peers, append_queue &queue);

    void publish(const publish_requested &request);
    void drain(const drain_requested &request);
    void resetConfirmers(const confirmers_reset_requested &request);

    /** A record of this instance was replayed. */
    void ownRecordReplayed(std::uint64_t sequence, log_offset offset, const apply_outcome &outcome);

    /** Acknowledges documents that a majority of the confirmers has replayed, and answers requests that have reached the time limit. */
    void tick();

private:
    struct pending_request {
        operation_id operation;
        monotonic_time started;
        /** True for documents: acknowledged once a majority of the confirmers has replayed the record. */
        bool needsMajority = false;
        /** Offset of the record; 0 until it is replayed. */
        log_offset offset;
        std::uint64_t version = 0;
        /** An answer was sent; after publish_unsettled the final outcome is only logged. */
        bool answered = false;
    };

    void enqueue(operation_id operation, pb::Record record, bool needsMajority);
    void answer(pending_request &request, result_code code, std::uint64_t version, const std::string &message);

    controller_context &m_context;
    peer_monitor &m_peers;
    append_queue &m_queue;
    std::map<std::uint64_t, pending_request> m_pending;
};

} // namespace sycamoretray
