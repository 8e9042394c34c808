#include "peer_transport/detail/peer_receiver.h"

#include "observability/event_log.h"
#include "records.pb.h"

#include <nng/protocol/pipeline0/pull.h>

namespace sycamoretray::detail
{

namespace
{

// More than the largest batch, which is one request with the largest body or 1 MB of smaller messages.
constexpr std::size_t maxReceiveBytes = 80ULL * 1024 * 1024;

std::error_code errorOf(int nngError)
{
    return std::make_error_code(nngError == NNG_EADDRINUSE       ? std::errc::address_in_use
                                    : nngError == NNG_EADDRINVAL ? std::errc::address_not_available
                                                                 : std::errc::io_error);
}

} // namespace

peer_receiver::peer_receiver(const peer_transport_settings &settings, const peer_transport_callbacks &callbacks, transport_counters &counters)
    : m_settings(settings)
    , m_callbacks(callbacks)
    , m_counters(counters)
    , m_verifier(settings.secret, settings.self)
{
}

peer_receiver::~peer_receiver()
{
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
    }
    if (m_aio != nullptr) {
        nng_close(m_socket);
        nng_aio_stop(m_aio);
        nng_aio_free(m_aio);
    }
}

std::error_code peer_receiver::start()
{
    int error = nng_pull0_open(&m_socket);
    if (error == 0) {
        error = nng_aio_alloc(&m_aio, &peer_receiver::receiveFinished, this);
    }
    if (error == 0) {
        nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, maxReceiveBytes);
        nng_pipe_notify(m_socket, NNG_PIPE_EV_REM_POST, &peer_receiver::pipeRemoved, this);
        error = nng_listen(m_socket, ("tcp://" + m_settings.address.value()).c_str(), nullptr, 0);
    }
    if (error != 0) {
        return errorOf(error);
    }
    nng_recv_aio(m_socket, m_aio);
    return {};
}

void peer_receiver::receiveFinished(void *self)
{
    auto *receiver = static_cast<peer_receiver *>(self);
    const int error = nng_aio_result(receiver->m_aio);
    if (error == NNG_ECLOSED || error == NNG_ECANCELED) {
        return;
    }
    if (error == 0) {
        nng_msg *message = nng_aio_get_msg(receiver->m_aio);
        nng_aio_set_msg(receiver->m_aio, nullptr);
        receiver->handle(message);
        nng_msg_free(message);
    }
    nng_recv_aio(receiver->m_socket, receiver->m_aio);
}

void peer_receiver::handle(nng_msg *message)
{
    pb::PeerBatch batch;
    const std::string_view sealed(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
    const result_code code = m_verifier.decode(sealed, batch);
    if (code != result_code::ok) {
        m_counters.batchesRefused.fetch_add(1, std::memory_order_relaxed);
        logEvent(event_severity::warning, "peer_batch_refused", { { "reason", std::string(resultName(code)) }, { "bytes", std::to_string(sealed.size()) } });
        return;
    }
    m_counters.batchesReceived.fetch_add(1, std::memory_order_relaxed);
    const incarnation_id from(batch.from());
    {
        const std::lock_guard lock(m_mutex);
        m_senders[static_cast<std::uint32_t>(nng_pipe_id(nng_msg_get_pipe(message)))] = from;
    }
    m_callbacks.received(from, batch);
}

void peer_receiver::pipeRemoved(nng_pipe pipe, nng_pipe_ev /*event*/, void *self)
{
    auto *receiver = static_cast<peer_receiver *>(self);
    incarnation_id sender;
    {
        const std::lock_guard lock(receiver->m_mutex);
        const auto found = receiver->m_senders.find(static_cast<std::uint32_t>(nng_pipe_id(pipe)));
        if (found == receiver->m_senders.end() || receiver->m_closed) {
            return;
        }
        sender = found->second;
        receiver->m_senders.erase(found);
    }
    receiver->m_callbacks.lost(sender);
}

} // namespace sycamoretray::detail
