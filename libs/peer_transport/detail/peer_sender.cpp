#include "peer_transport/detail/peer_sender.h"

#include "executor/steady_time.h"
#include "observability/event_log.h"

#include <nng/protocol/pipeline0/push.h>

#include <cstring>
#include <utility>

namespace sycamoretray::detail
{

namespace
{

// Larger batches would delay short messages until long ones are transferred.
constexpr std::uint64_t maxBatchBytes = 1024ULL * 1024;
constexpr nng_duration reconnectMinimumMs = 10;
// Well below the time without contact after which a peer is suspected to have failed.
constexpr nng_duration reconnectMaximumMs = 100;

} // namespace

peer_sender::peer_sender(const peer_transport_settings &settings,
                         incarnation_id peer,
                         network_address address,
                         std::function<void(const incarnation_id &)> lost,
                         transport_counters &counters)
    : m_settings(settings)
    , m_peer(std::move(peer))
    , m_address(std::move(address))
    , m_lost(std::move(lost))
    , m_counters(counters)
    , m_authenticator(settings.secret)
{
    int error = nng_push0_open(&m_socket);
    if (error == 0) {
        error = nng_aio_alloc(&m_aio, &peer_sender::sendFinished, this);
    }
    if (error == 0) {
        const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(settings.queueTime).count();
        nng_aio_set_timeout(m_aio, static_cast<nng_duration>(timeout));
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, reconnectMinimumMs);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, reconnectMaximumMs);
        nng_pipe_notify(m_socket, NNG_PIPE_EV_REM_POST, &peer_sender::pipeRemoved, this);
        error = nng_dial(m_socket, ("tcp://" + m_address.value()).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }
    if (error != 0) {
        logEvent(
            event_severity::warning, "peer_dial_failed", { { "peer", m_peer.value() }, { "address", m_address.value() }, { "error", nng_strerror(error) } });
        m_closed = true;
    }
}

peer_sender::~peer_sender()
{
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
    }
    nng_close(m_socket);
    if (m_aio != nullptr) {
        nng_aio_stop(m_aio);
        nng_aio_free(m_aio);
    }
}

void peer_sender::send(std::string message)
{
    bool full = false;
    {
        const std::lock_guard lock(m_mutex);
        full = m_closed || m_queuedBytes + message.size() > m_settings.queueBytes;
        if (!full) {
            m_queuedBytes += message.size();
            m_queue.push_back({ std::move(message), steadyNow() });
            if (std::exchange(m_sending, true)) {
                return;
            }
        }
    }
    if (full) {
        m_counters.messagesDropped.fetch_add(1, std::memory_order_relaxed);
        m_lost(m_peer);
        return;
    }
    sendNext();
}

std::vector<std::string> peer_sender::takeBatch(bool &dropped)
{
    const monotonic_time oldest = steadyNow() - m_settings.queueTime;
    std::vector<std::string> batch;
    std::uint64_t bytes = 0;
    const std::lock_guard lock(m_mutex);
    while (!m_queue.empty() && bytes < maxBatchBytes && !m_closed) {
        queued_message &front = m_queue.front();
        m_queuedBytes -= front.text.size();
        if (front.since < oldest) {
            dropped = true;
            m_counters.messagesDropped.fetch_add(1, std::memory_order_relaxed);
        } else {
            bytes += front.text.size();
            batch.push_back(std::move(front.text));
        }
        m_queue.pop_front();
    }
    m_sending = !batch.empty();
    return batch;
}

void peer_sender::sendNext()
{
    bool dropped = false;
    const std::vector<std::string> batch = takeBatch(dropped);
    if (dropped) {
        m_lost(m_peer);
    }
    if (batch.empty()) {
        return;
    }
    const std::uint64_t sequence = m_counters.sequence.fetch_add(1, std::memory_order_relaxed) + 1;
    const std::string sealed = sealBatch(m_authenticator, m_settings.self, m_peer, sequence, batch);
    nng_msg *message = nullptr;
    if (nng_msg_alloc(&message, sealed.size()) != 0) {
        throw std::bad_alloc();
    }
    std::memcpy(nng_msg_body(message), sealed.data(), sealed.size());
    m_counters.batchesSent.fetch_add(1, std::memory_order_relaxed);
    m_counters.messagesSent.fetch_add(batch.size(), std::memory_order_relaxed);
    nng_aio_set_msg(m_aio, message);
    nng_send_aio(m_socket, m_aio);
}

void peer_sender::sendFinished(void *self)
{
    auto *sender = static_cast<peer_sender *>(self);
    const int error = nng_aio_result(sender->m_aio);
    if (error != 0) {
        nng_msg_free(nng_aio_get_msg(sender->m_aio));
        nng_aio_set_msg(sender->m_aio, nullptr);
        if (error == NNG_ECLOSED || error == NNG_ECANCELED) {
            return;
        }
        sender->m_counters.messagesDropped.fetch_add(1, std::memory_order_relaxed);
        sender->m_lost(sender->m_peer);
    }
    sender->sendNext();
}

void peer_sender::pipeRemoved(nng_pipe /*pipe*/, nng_pipe_ev /*event*/, void *self)
{
    auto *sender = static_cast<peer_sender *>(self);
    bool closed = false;
    {
        const std::lock_guard lock(sender->m_mutex);
        closed = sender->m_closed;
    }
    if (!closed) {
        sender->m_lost(sender->m_peer);
    }
}

} // namespace sycamoretray::detail
