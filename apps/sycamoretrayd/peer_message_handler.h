#pragma once

#include "sycamoretrayd/entry_router.h"
#include "sycamoretrayd/home_registry.h"
#include "sycamoretrayd/peer_directory.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace sycamoretray
{

namespace pb
{
class DuplicateTransfer;
class ForwardRequest;
class PeerBatch;
class PeerMessage;
} // namespace pb

/** Components and functions that the peer message handler uses. */
struct peer_message_environment {
    incarnation_id self;
    std::shared_ptr<home_registry> homes;
    std::shared_ptr<peer_directory> peers;
    std::shared_ptr<entry_router> entry;
    /** Sends a serialized pb::PeerMessage. */
    std::function<void(const incarnation_id &, const network_address &, std::string)> send;
    std::function<void(controller_event)> toController;
};

/** Passes authenticated messages of other instances to the components that handle them. Thread safety: any thread. */
class peer_message_handler
{
public:
    explicit peer_message_handler(peer_message_environment environment);
    ~peer_message_handler();
    peer_message_handler(const peer_message_handler &) = delete;
    peer_message_handler &operator=(const peer_message_handler &) = delete;

    void received(const incarnation_id &from, pb::PeerBatch &batch);

private:
    /** A transfer of deduplication entries whose last part has not arrived yet. */
    struct partial_transfer {
        dispatch_transfer transfer;
        std::uint32_t nextPart = 0;
        monotonic_time started;
    };

    void receive(const incarnation_id &from, pb::PeerMessage &message);
    void receiveRequest(const incarnation_id &from, pb::ForwardRequest &message);
    void receiveTransfer(const incarnation_id &from, pb::DuplicateTransfer &message);
    void receiveCrashReport(const pb::PeerMessage &message);
    void receiveLoadReport(const pb::PeerMessage &message);

    peer_message_environment m_environment;
    std::mutex m_mutex;
    std::map<std::pair<incarnation_id, std::uint64_t>, partial_transfer> m_transfers;
};

} // namespace sycamoretray
