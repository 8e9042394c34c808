#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <system_error>

namespace sycamoretray
{

namespace pb
{
class PeerBatch;
}

struct peer_transport_settings {
    incarnation_id self;
    /** Address to listen on. */
    network_address address;
    /** Secret shared by all instances. */
    std::string secret;
    /** Limit of the messages queued for one peer; further messages are dropped. */
    std::uint64_t queueBytes = 64ULL * 1024 * 1024;
    /** A message queued for longer is dropped, because the remaining time it carries is no longer correct. */
    time_span queueTime = std::chrono::milliseconds(500);
};

/** Functions that the transport calls from its own threads. They must not block. */
struct peer_transport_callbacks {
    /** Receives an authenticated batch, each at most once. Batches of one sender arrive in order. */
    std::function<void(const incarnation_id &from, pb::PeerBatch &batch)> received;
    /** Called when a connection from or to the peer is lost or messages to it are dropped. Messages may be lost both ways. */
    std::function<void(const incarnation_id &peer)> lost;
};

struct peer_transport_counts {
    std::uint64_t batchesSent = 0;
    std::uint64_t batchesReceived = 0;
    std::uint64_t batchesRefused = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesDropped = 0;
};

/**
 * Exchanges authenticated messages between instances over nng push/pull sockets on TCP.
 *
 * A message to an idle peer is sent at once. Messages that arrive while a batch is being sent form the next batch, so
 * batches grow with the load and batching causes no delay at low load. Delivery is not reliable: when a connection is lost,
 * the loss is reported and messages in flight may be lost.
 *
 * Thread safety: thread-safe unless noted.
 */
class peer_transport
{
public:
    peer_transport(peer_transport_settings settings, peer_transport_callbacks callbacks);

    /** Closes all sockets. No callback runs after the destructor returns. */
    ~peer_transport();
    peer_transport(const peer_transport &) = delete;
    peer_transport &operator=(const peer_transport &) = delete;

    /** Starts listening. Returns an error if the address cannot be used. */
    std::error_code start();

    /** Sends @p message, a serialized pb::PeerMessage, to the incarnation @p to, which listens on @p address. */
    void send(const incarnation_id &to, const network_address &address, std::string message);

    /** Closes the connections to peers that are not in @p peers. Must not be called from a callback. */
    void retain(const std::set<incarnation_id> &peers);

    peer_transport_counts counts() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
