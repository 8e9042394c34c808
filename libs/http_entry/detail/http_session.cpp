#include "http_entry/detail/http_session.h"

#include "executor/steady_time.h"
#include "http_entry/error_answer.h"
#include "http_message/http_writer.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamoretray::detail
{

namespace
{

// Unparsed data of pipelined requests beyond which no more data is read.
constexpr std::size_t maxUnparsedBytes = 64ULL * 1024;
constexpr std::size_t typicalHeadBytes = 512;
// Time that a caller has to read the last answer before its connection is closed.
constexpr time_span lingerTimeout = std::chrono::seconds(1);
// Time without a byte sent or read by the caller after which its connection may be closed for lack of memory.
constexpr time_span stallTimeout = std::chrono::seconds(1);
// Answers that wait to be read beyond which no further request is handed on.
constexpr std::size_t maxUnreadBytes = 256ULL * 1024;

/** Bytes that a response takes in memory. */
std::uint64_t memoryOf(const http_response &response)
{
    std::uint64_t bytes = response.body.size();
    for (const http_field &field : response.fields) {
        bytes += sizeof(field) + field.name.size() + field.value.size();
    }
    return bytes;
}

} // namespace

http_session::http_session(socket_type socket, std::shared_ptr<session_environment> environment)
    : m_strand(socket.get_executor())
    , m_socket(std::move(socket))
    , m_environment(std::move(environment))
    , m_parser(m_environment->settings.limits)
    , m_lastProgress(steadyNow())
    , m_received(m_environment->settings.budget)
    , m_outputReservation(m_environment->settings.budget)
    , m_writingReservation(m_environment->settings.budget)
{
    m_environment->connections.fetch_add(1, std::memory_order_relaxed);
    if (m_environment->settings.budget) {
        m_environment->settings.budget->add(*this);
    }
    boost::system::error_code error;
    const auto caller = m_socket.remote_endpoint(error);
    m_callerAddress = error ? std::string() : caller.address().to_string();
}

http_session::~http_session()
{
    if (m_environment->settings.budget) {
        m_environment->settings.budget->remove(*this);
    }
    m_environment->connections.fetch_sub(1, std::memory_order_relaxed);
}

void http_session::start()
{
    boost::asio::dispatch(m_strand, [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->updateDeadline();
        self->readMore();
    });
}

void http_session::readMore()
{
    const bool waitsForAnswer = !m_pending.empty() || m_writeActive;
    if (m_readActive || m_deferred > 0 || isClosed() || m_unparsed.size() >= maxUnparsedBytes || (!m_lingering && m_discarded >= maxUnparsedBytes)) {
        return;
    }
    if (waitsForAnswer && !m_noMoreRequests && isMemoryScarce()) {
        // written() continues.
        return;
    }
    m_readActive = true;
    m_socket.async_read_some(boost::asio::buffer(m_input), [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
        self->m_readActive = false;
        if (error) {
            self->closeOnStrand();
            return;
        }
        self->received(size);
    });
}

void http_session::received(std::size_t size)
{
    if (isClosed()) {
        return;
    }
    m_lastProgress = steadyNow();
    if (m_noMoreRequests || m_lingering) {
        m_discarded += size;
    } else if (reserveReceived(size)) {
        m_unparsed.append(m_input.data(), size);
        parseReceived();
        updateDeadline();
    }
    readMore();
}

bool http_session::reserveReceived(std::size_t size)
{
    if (m_received.tryReserve(size)) {
        return true;
    }
    if (!m_pending.empty() || m_writeActive) {
        // written() tries again.
        m_deferred = size;
        return false;
    }
    m_unparsed.clear();
    refuse(result_code::memory_exhausted);
    return false;
}

bool http_session::isMemoryScarce() const noexcept
{
    return m_environment->settings.budget && m_environment->settings.budget->isScarce();
}

void http_session::parseReceived()
{
    std::size_t position = 0;
    while (position < m_unparsed.size() && readsNextRequest()) {
        if (m_requestDeadline == noDeadline) {
            m_requestDeadline = steadyNow() + m_environment->settings.transferTimeout;
        }
        const std::size_t used = m_parser.feed(std::string_view(m_unparsed).substr(position));
        position += used;
        m_parsedBytes += used;
        if (m_parser.state() == http_parse_state::failed) {
            refuse(m_parser.error());
            position = m_unparsed.size();
            break;
        }
        if (m_parser.state() == http_parse_state::complete) {
            requestComplete();
            continue;
        }
        if (used == 0) {
            break;
        }
    }
    m_unparsed.erase(0, position);
    if (!m_noMoreRequests && m_parser.headerComplete() && m_parser.expectsContinue() && !m_continueSent) {
        sendContinue();
    }
}

bool http_session::isClosing() const noexcept
{
    return m_closeRequested || m_environment->closeAfterAnswer.load(std::memory_order_relaxed);
}

bool http_session::readsNextRequest() const noexcept
{
    // A request behind the answer that closes the connection must not be passed on, as it would get no answer.
    const bool answersAreLast = isClosing() && !m_pending.empty();
    const std::size_t unread = m_output.size() + m_writing.size() - m_sent;
    const bool waits = unread > maxUnreadBytes || (isMemoryScarce() && (!m_pending.empty() || unread > 0));
    return !isClosed() && !m_noMoreRequests && !answersAreLast && !waits && m_pending.size() < m_environment->settings.pipelinedRequests;
}

void http_session::requestComplete()
{
    http_request request = m_parser.take();
    m_requestDeadline = noDeadline;
    m_continueSent = false;
    const bool keepAlive = request.keepAlive;
    const std::uint64_t sequence = m_firstSequence + m_pending.size();
    pending_answer &pending = addPending();
    pending.reservation = m_received.split(std::exchange(m_parsedBytes, 0));
    pending.headRequest = request.method == "HEAD";
    pending.keepAlive = keepAlive;
    m_noMoreRequests = !keepAlive;
    auto handle = std::make_shared<answer_handle>(shared_from_this(), sequence);
    m_environment->handler(std::move(request), std::move(handle));
}

http_session::pending_answer &http_session::addPending()
{
    return m_pending.emplace_back(pending_answer{ .reservation = budget_reservation(m_environment->settings.budget) });
}

void http_session::refuse(result_code code)
{
    m_noMoreRequests = true;
    discardRequest();
    const std::uint64_t sequence = m_firstSequence + m_pending.size();
    pending_answer &pending = addPending();
    pending.keepAlive = false;
    pending.refused = true;
    const auto &errorResponse = m_environment->settings.errorResponse;
    http_response response = errorResponse ? errorResponse(code) : errorAnswer(code, request_id());
    if (code == result_code::memory_exhausted) {
        response.fields.push_back({ "Retry-After", "1" });
    }
    deliverOnStrand(sequence, std::move(response), true);
}

void http_session::discardRequest()
{
    m_requestDeadline = noDeadline;
    m_parser = http_request_parser(m_environment->settings.limits);
    m_parsedBytes = 0;
    m_received.release();
}

void http_session::sendContinue()
{
    // The caller attributes an interim response to the oldest unanswered request, so it is sent only when all earlier requests
    // have been answered.
    if (!m_pending.empty()) {
        return;
    }
    m_continueSent = true;
    m_output += "HTTP/1.1 100 Continue\r\n\r\n";
    writeMore();
}

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
    if (response && !pending.refused && !reserveAnswer(pending, *response)) {
        return;
    }
    m_closeRequested = m_closeRequested || closeConnection;
    pending.response = std::move(response);
    pending.ready = true;
    pending.disconnectHandler = nullptr;
    queueReadyAnswers();
}

bool http_session::reserveAnswer(pending_answer &pending, const http_response &response)
{
    const bool reserved = pending.reservation.tryReserve(memoryOf(response), reservation_purpose::answer);
    if (!reserved) {
        // The request may have run, so that it must not be answered with a refusal.
        closeOnStrand();
    }
    return reserved && !isClosed();
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
        m_output.reserve(m_output.size() + typicalHeadBytes + front.response->body.size());
        appendResponse(m_output, *front.response, {}, front.headRequest, !m_closeAfterWrite);
        m_outputReservation.merge(std::move(front.reservation));
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
    m_writeActive = true;
    m_writing = std::exchange(m_output, {});
    m_sent = 0;
    m_writingReservation = std::move(m_outputReservation);
    m_writeDeadline = steadyNow() + m_environment->settings.transferTimeout;
    updateDeadline();
    writeSome();
}

void http_session::writeSome()
{
    m_socket.async_write_some(boost::asio::buffer(m_writing) + m_sent, [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
        self->wroteSome(!error, size);
    });
}

void http_session::wroteSome(bool success, std::size_t size)
{
    m_sent += size;
    m_lastProgress = steadyNow();
    if (success && !isClosed() && m_sent < m_writing.size()) {
        writeSome();
        return;
    }
    m_writeActive = false;
    m_writeDeadline = noDeadline;
    m_writing = {};
    m_sent = 0;
    m_writingReservation.release();
    if (isClosed()) {
        return;
    }
    if (!success) {
        closeOnStrand();
        return;
    }
    written();
}

void http_session::written()
{
    if (m_closeAfterWrite && m_output.empty()) {
        linger();
        return;
    }
    writeMore();
    const std::size_t deferred = std::exchange(m_deferred, 0);
    if (deferred > 0) {
        received(deferred);
    }
    parseReceived();
    updateDeadline();
    readMore();
}

void http_session::linger()
{
    // Closing a socket with unread data resets the connection, and the caller could lose an answer that it has not read yet.
    m_lingering = true;
    m_deferred = 0;
    m_unparsed.clear();
    discardRequest();
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::socket_base::shutdown_send, ignored);
    m_deadline.store((steadyNow() + lingerTimeout).time_since_epoch().count(), std::memory_order_relaxed);
    readMore();
}

void http_session::updateDeadline()
{
    monotonic_time deadline = std::min(m_requestDeadline, m_writeDeadline);
    if (deadline == noDeadline && m_pending.empty()) {
        deadline = steadyNow() + m_environment->settings.idleTimeout;
    }
    m_deadline.store(deadline.time_since_epoch().count(), std::memory_order_relaxed);
}

void http_session::closeIfOverdue(monotonic_time now)
{
    if (now.time_since_epoch().count() >= m_deadline.load(std::memory_order_relaxed)) {
        close();
    }
}

void http_session::onCallerDisconnected(std::uint64_t sequence, std::function<void()> function)
{
    boost::asio::dispatch(m_strand, [self = shared_from_this(), sequence, function = std::move(function)]() mutable {
        if (self->isClosed()) {
            function();
        } else if (sequence >= self->m_firstSequence && sequence - self->m_firstSequence < self->m_pending.size()) {
            pending_answer &pending = self->m_pending[sequence - self->m_firstSequence];
            if (!pending.ready) {
                pending.disconnectHandler = std::move(function);
            }
        }
    });
}

void http_session::close()
{
    boost::asio::dispatch(m_strand, [self = shared_from_this()] {
        self->closeOnStrand();
    });
}

void http_session::closeIfIdle()
{
    boost::asio::dispatch(m_strand, [self = shared_from_this()] {
        const bool receiving = self->m_requestDeadline != noDeadline || !self->m_unparsed.empty();
        const bool answering = !self->m_pending.empty() || !self->m_output.empty() || self->m_writeActive || self->m_lingering;
        if (!receiving && !answering) {
            self->closeOnStrand();
        }
    });
}

void http_session::closeOnStrand()
{
    for (const auto &function : shutDown()) {
        function();
    }
}

std::vector<std::function<void()>> http_session::shutDown()
{
    std::vector<std::function<void()>> functions;
    if (m_closed.exchange(true)) {
        return functions;
    }
    boost::system::error_code ignored;
    m_socket.close(ignored);
    for (pending_answer &pending : m_pending) {
        if (pending.disconnectHandler) {
            functions.push_back(std::move(pending.disconnectHandler));
        }
    }
    m_pending.clear();
    m_received.release();
    m_outputReservation.release();
    m_writingReservation.release();
    // Handlers of requests keep the session. The buffers may be in use by a caller of this function, so that they are released later.
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->m_unparsed = {};
        self->m_output = {};
        self->discardRequest();
    });
    return functions;
}

std::uint64_t http_session::reservedBytes() const noexcept
{
    std::uint64_t bytes = m_received.reserved() + m_outputReservation.reserved() + m_writingReservation.reserved();
    for (const pending_answer &pending : m_pending) {
        bytes += pending.reservation.reserved();
    }
    return bytes;
}

std::uint64_t http_session::reclaimableBytes() const noexcept
{
    const bool waitsForCaller = m_writeActive || m_pending.empty();
    const bool stalled = waitsForCaller && !isClosed() && steadyNow() - m_lastProgress >= stallTimeout;
    return stalled ? reservedBytes() : 0;
}

void http_session::reclaim()
{
    // The handlers may use other connections, also the one that reserves memory now.
    boost::asio::post(m_strand, [functions = shutDown()] {
        for (const auto &function : functions) {
            function();
        }
    });
}

} // namespace sycamoretray::detail
