#include "http_entry/detail/http_session.h"

#include "executor/steady_time.h"
#include "http_entry/error_answer.h"

#include <algorithm>
#include <utility>

namespace sycamoretray::detail
{

namespace
{

// Data after the last request that is read before its answer was written.
constexpr std::size_t maxDiscardedBytes = 64ULL * 1024;
// Answers that wait to be read beyond which no further request is handed on.
constexpr std::size_t maxUnreadBytes = 256ULL * 1024;
// Memory for a request beyond the message: its entries in the tables of those who handle it.
constexpr std::uint64_t requestOverheadBytes = 2048;

} // namespace

void http_session::readMore()
{
    const bool waitsForAnswer = !m_pending.empty() || m_writeActive;
    const bool full = m_unparsed.size() > m_environment->settings.limits.headerBytes;
    if (m_readActive || isClosed()) {
        return;
    }
    const bool scarce = waitsForAnswer && !m_noMoreRequests && isMemoryScarce();
    if (scarce || m_deferred > 0 || full || (!m_lingering && m_discarded >= maxDiscardedBytes)) {
        // continueReading() reads on.
        m_readingPaused = true;
        return;
    }
    m_readingPaused = false;
    m_readActive = true;
    m_socket.async_read_some(boost::asio::buffer(m_input.data(), m_input.size()),
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                                 self->m_readActive = false;
                                 if (error) {
                                     self->closeOnStrand();
                                     return;
                                 }
                                 self->m_progress.add(size, steadyNow());
                                 self->received(size);
                             });
}

void http_session::received(std::size_t size)
{
    if (isClosed()) {
        return;
    }
    if (m_noMoreRequests || m_lingering) {
        m_discarded += size;
    } else if (reserveReceived(size)) {
        if (isReceiving() && m_parser.headerComplete()) {
            m_requestDeadline += extraTime(size);
        }
        parseReceived({ m_input.data(), size });
        if (isClosed()) {
            return;
        }
        if (m_deferred == 0) {
            m_input.adapt(size, isReceiving());
        }
        updateDeadline();
    }
    readMore();
    countBuffers();
}

bool http_session::reserveReceived(std::size_t size)
{
    const reservation_purpose purpose = purposeFor(m_parser.bodyMemory() + size);
    if (m_parser.reserveBody(size, purpose, this) && m_buffers.tryResize(bufferBytes() + size, purpose, this)) {
        return true;
    }
    if (!m_pending.empty() || m_writeActive) {
        // continueReading() tries again.
        m_deferred = size;
        return false;
    }
    refuse(result_code::memory_exhausted);
    return false;
}

void http_session::parseReceived(std::string_view data)
{
    if (!m_unparsed.empty()) {
        m_unparsed.append(data);
        parseKept();
        return;
    }
    std::string_view rest = data;
    while (!rest.empty() && readsNextRequest()) {
        if (!isReceiving()) {
            m_parser.setLimits(m_environment->settings.limits);
            m_callersTurn = steadyNow();
            m_requestDeadline = m_callersTurn + m_environment->settings.headerTimeout;
        }
        const std::size_t used = m_parser.feed(rest);
        rest.remove_prefix(used);
        if (m_parser.state() == http_parse_state::failed) {
            refuse(m_parser.error());
            rest = {};
            break;
        }
        if (m_parser.state() == http_parse_state::complete) {
            requestComplete();
            continue;
        }
        if (m_parser.headerComplete() && !std::exchange(m_headerChecked, true) && refuseAnnouncedBody()) {
            rest = {};
            break;
        }
        if (used == 0) {
            break;
        }
    }
    if (isClosed() || m_noMoreRequests) {
        m_unparsed = {};
        return;
    }
    m_unparsed.assign(rest);
    if (m_parser.headerComplete()) {
        m_requestDeadline = std::max(m_requestDeadline, m_callersTurn + m_environment->settings.transferTimeout);
        if (m_parser.expectsContinue() && !m_continueSent) {
            sendContinue();
        }
    }
}

void http_session::parseKept()
{
    const std::string kept = std::exchange(m_unparsed, {});
    if (!kept.empty()) {
        parseReceived(kept);
    }
}

bool http_session::refuseAnnouncedBody()
{
    const auto &settings = m_environment->settings;
    const std::uint64_t bytes = m_parser.declaredBytes();
    if (!settings.budget || bytes <= largeRequestBytes || settings.budget->couldTake(bytes, purposeFor(bytes), this)) {
        return false;
    }
    refuse(result_code::memory_exhausted);
    return true;
}

bool http_session::isReceiving() const noexcept
{
    return m_requestDeadline != noDeadline;
}

bool http_session::isClosing() const noexcept
{
    return m_closeRequested || m_environment->closeAfterAnswer.load(std::memory_order_relaxed);
}

bool http_session::readsNextRequest() const noexcept
{
    // A request behind the answer that closes the connection must not be passed on, as it would get no answer.
    const bool answersAreLast = isClosing() && !m_pending.empty();
    const std::size_t unread = m_output.unreadBytes();
    const bool waits = unread > maxUnreadBytes || (isMemoryScarce() && (!m_pending.empty() || unread > 0));
    return !isClosed() && !m_noMoreRequests && !answersAreLast && !waits && m_pending.size() < m_environment->settings.pipelinedRequests;
}

void http_session::requestComplete()
{
    const auto &settings = m_environment->settings;
    auto reservation = std::make_shared<budget_reservation>(settings.budget);
    if (!reservation->tryResize(m_parser.headerMemory() + requestOverheadBytes, settings.purpose, this)) {
        refuse(result_code::memory_exhausted);
        return;
    }
    http_request request = m_parser.take();
    request.reservation = std::move(reservation);
    m_requestDeadline = noDeadline;
    m_continueSent = false;
    m_headerChecked = false;
    m_requestSeen = true;
    const bool keepAlive = request.keepAlive;
    const std::uint64_t sequence = m_firstSequence + m_pending.size();
    pending_answer &pending = addPending();
    pending.headRequest = request.method == "HEAD";
    pending.keepAlive = keepAlive;
    m_noMoreRequests = !keepAlive;
    auto handle = std::make_shared<answer_handle>(shared_from_this(), sequence);
    m_environment->handler(std::move(request), std::move(handle));
}

http_session::pending_answer &http_session::addPending()
{
    return m_pending.emplace_back();
}

void http_session::refuse(result_code code)
{
    if (code != result_code::memory_exhausted) {
        record(resource_event::request_beyond_limits);
    }
    m_noMoreRequests = true;
    discardRequest();
    const std::uint64_t sequence = m_firstSequence + m_pending.size();
    addPending().keepAlive = false;
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
    m_headerChecked = false;
    m_unparsed = {};
    m_parser = http_request_parser(m_environment->settings.limits, m_environment->settings.budget);
    countBuffers();
}

void http_session::sendContinue()
{
    // The caller attributes an interim response to the oldest unanswered request, so it is sent only when all earlier requests
    // have been answered.
    if (!m_pending.empty()) {
        return;
    }
    m_continueSent = true;
    m_output.append("HTTP/1.1 100 Continue\r\n\r\n", {});
    writeMore();
}

} // namespace sycamoretray::detail
