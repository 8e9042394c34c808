#include "http_entry/detail/http_session.h"

#include "executor/steady_time.h"
#include "http_message/http_writer.h"

#include <boost/asio/dispatch.hpp>

#include <utility>

namespace sycamoretray::detail
{

namespace
{

// An answer of the instance itself up to this length is written even if memory has run out.
constexpr std::size_t shortAnswerBytes = 4096;

} // namespace

void http_session::deliver(std::uint64_t sequence, std::optional<http_response> response, bool closeConnection)
{
    boost::asio::dispatch(m_strand, [self = shared_from_this(), sequence, response = std::move(response), closeConnection]() mutable {
        self->deliverOnStrand(sequence, std::move(response), closeConnection);
    });
}

void http_session::deliverOnStrand(std::uint64_t sequence, std::optional<http_response> response, bool closeConnection)
{
    if (isClosed() || sequence < m_firstSequence || sequence - m_firstSequence >= m_pending.size()) {
        return;
    }
    pending_answer &pending = m_pending[sequence - m_firstSequence];
    if (pending.ready) {
        return;
    }
    if (response && !reserveAnswer(*response)) {
        return;
    }
    m_closeRequested = m_closeRequested || closeConnection;
    pending.response = std::move(response);
    pending.ready = true;
    pending.disconnectHandler = nullptr;
    queueReadyAnswers();
}

bool http_session::reserveAnswer(http_response &response)
{
    const auto &budget = m_environment->settings.budget;
    if (!budget) {
        return true;
    }
    const bool isShort = response.body.size() <= shortAnswerBytes;
    if (!response.body.tryCount(budget, isShort ? reservation_purpose::essential : reservation_purpose::answer, this)) {
        // The request may have run, so that it must not be answered with a refusal.
        closeOnStrand();
        return false;
    }
    response.reservation = std::make_shared<budget_reservation>(budget);
    response.reservation->resize(memoryOf(response.fields));
    return true;
}

void http_session::queueReadyAnswers()
{
    while (!m_pending.empty() && m_pending.front().ready && !m_closeAfterWrite) {
        pending_answer &front = m_pending.front();
        if (!front.response) {
            closeOnStrand();
            return;
        }
        m_closeAfterWrite = !front.keepAlive || (isClosing() && m_pending.size() == 1);
        std::string head;
        const bool withBody = appendResponseHead(head, *front.response, {}, front.headRequest, !m_closeAfterWrite);
        m_output.append(std::move(head), withBody ? front.response->body : http_body());
        m_pending.pop_front();
        ++m_firstSequence;
    }
    if (m_closeAfterWrite) {
        m_noMoreRequests = true;
    }
    writeMore();
}

void http_session::writeMore()
{
    if (m_writeActive || m_output.empty() || isClosed()) {
        return;
    }
    if (m_writeDeadline == noDeadline) {
        m_callersTurn = steadyNow();
        m_writeDeadline = m_callersTurn + m_environment->settings.transferTimeout;
        updateDeadline();
    }
    m_writeActive = true;
    m_socket.async_write_some(m_output.nextBuffers(), [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
        self->wrote(!error, size);
    });
}

void http_session::wrote(bool success, std::size_t size)
{
    m_writeActive = false;
    if (isClosed()) {
        return;
    }
    if (!success) {
        closeOnStrand();
        return;
    }
    m_output.consume(size);
    m_progress.add(size, steadyNow());
    m_writeDeadline += extraTime(size);
    if (m_output.empty()) {
        m_writeDeadline = noDeadline;
        m_callersTurn = steadyNow();
        if (m_closeAfterWrite) {
            linger();
            return;
        }
    }
    writeMore();
    continueReading();
}

void http_session::continueReading()
{
    const std::size_t deferred = std::exchange(m_deferred, 0);
    if (deferred > 0) {
        received(deferred);
    }
    if (m_deferred == 0 && !isClosed()) {
        parseKept();
    }
    if (isClosed()) {
        return;
    }
    updateDeadline();
    readMore();
    countBuffers();
}

void http_session::linger()
{
    // Closing a socket with unread data resets the connection, and the caller could lose an answer that it has not read yet.
    m_lingering = true;
    m_deferred = 0;
    discardRequest();
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::socket_base::shutdown_send, ignored);
    updateDeadline();
    readMore();
}

} // namespace sycamoretray::detail
