#pragma once

#include "peer_transport/batch_codec.h"
#include "peer_transport/detail/transport_counters.h"
#include "peer_transport/peer_transport.h"

#include <nng/nng.h>

#include <mutex>
#include <system_error>
#include <unordered_map>

namespace sycamoretray::detail
{

/** Receives the batches of all peers on one pull socket. Thread safety: none; callbacks run on nng threads. */
class peer_receiver
{
public:
    peer_receiver(const peer_transport_settings &settings, const peer_transport_callbacks &callbacks, transport_counters &counters);
    ~peer_receiver();
    peer_receiver(const peer_receiver &) = delete;
    peer_receiver &operator=(const peer_receiver &) = delete;

    std::error_code start();

private:
    static void receiveFinished(void *self);
    static void pipeRemoved(nng_pipe pipe, nng_pipe_ev event, void *self);
    void handle(nng_msg *message);

    const peer_transport_settings &m_settings;
    const peer_transport_callbacks &m_callbacks;
    transport_counters &m_counters;
    /** Used only by the receive callback, which never runs concurrently. */
    batch_verifier m_verifier;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    nng_aio *m_aio = nullptr;
    std::mutex m_mutex;
    /** Sender of the authenticated batches of each connection, by nng pipe id. */
    std::unordered_map<std::uint32_t, incarnation_id> m_senders;
    bool m_closed = false;
};

} // namespace sycamoretray::detail
