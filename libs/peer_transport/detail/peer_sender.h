#pragma once

#include "peer_transport/batch_codec.h"
#include "peer_transport/detail/transport_counters.h"
#include "peer_transport/peer_transport.h"

#include <nng/nng.h>

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace sycamoretray::detail
{

/** Queues messages to one peer and sends them in batches on a push socket. Thread safety: thread-safe. */
class peer_sender
{
public:
    peer_sender(const peer_transport_settings &settings,
                incarnation_id peer,
                network_address address,
                std::function<void(const incarnation_id &)> lost,
                transport_counters &counters);
    ~peer_sender();
    peer_sender(const peer_sender &) = delete;
    peer_sender &operator=(const peer_sender &) = delete;

    void send(std::string message);

    const network_address &address() const noexcept
    {
        return m_address;
    }

private:
    struct queued_message {
        std::string text;
        monotonic_time since;
    };

    static void sendFinished(void *self);
    static void pipeRemoved(nng_pipe pipe, nng_pipe_ev event, void *self);
    std::vector<std::string> takeBatch(bool &dropped);
    void sendNext();

    const peer_transport_settings &m_settings;
    incarnation_id m_peer;
    network_address m_address;
    std::function<void(const incarnation_id &)> m_lost;
    transport_counters &m_counters;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    nng_aio *m_aio = nullptr;
    std::mutex m_mutex;
    std::deque<queued_message> m_queue;
    std::uint64_t m_queuedBytes = 0;
    /** Used only by the thread that is sending; m_sending ensures that there is one at most. */
    batch_authenticator m_authenticator;
    bool m_sending = false;
    bool m_closed = false;
};

} // namespace sycamoretray::detail
