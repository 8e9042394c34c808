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
    /** Secret that all instances share. */
    std::string secret;
    /** Messages that wait for one peer; beyond it they are dropped. */
    std::uint64_t queueBytes = 64ULL * 1024 * 1024;
    /** A message that could not be sent for this long is dropped: its deadline no longer means what the sender meant. */
    time_span queueTime = std::chrono::milliseconds(500);
};

/** Functions that the transport calls from its own threads. They must not block. */
struct peer_transport_callbacks {
    /** An authenticated batch that was not seen before. Batches of one sender arrive in order. */
    std::function<void(const incarnation_id &from, pb::PeerBatch &batch)> received;
    /** The connection from or to the peer broke, or messages to it were dropped. Messages may be lost in both directions. */
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
 * Authenticated messages between instances over nng push/pull sockets and TCP.
 *
 * A message to an idle peer is sent at once. While a batch is being sent, further messages to that peer are collected and form
 * the next batch, so batches grow with the load and add no delay without it. Delivery is not reliable: a broken connection is
 * reported, and what was under way may be lost.
 *
 * Thread safety: any thread, unless noted.
 */
class peer_transport
{
public:
    peer_transport(peer_transport_settings settings, peer_transport_callbacks callbacks);

    /** Closes all sockets. No callback runs afterwards. */
    ~peer_transport();
    peer_transport(const peer_transport &) = delete;
    peer_transport &operator=(const peer_transport &) = delete;

    /** Starts to listen. Returns the error if the address cannot be used. */
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
