#include "http_entry/detail/http_session.h"

#include "executor/steady_time.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamoretray::detail
{

namespace
{

// Time that a caller has to read the last answer before its connection is closed.
constexpr time_span lingerTimeout = std::chrono::seconds(1);
// A body, or an answer, gets a second more for each of these bytes.
constexpr std::uint64_t bytesPerExtraSecond = 64ULL * 1024;

} // namespace

http_session::http_session(socket_type socket, std::shared_ptr<session_environment> environment)
    : m_strand(socket.get_executor())
    , m_socket(std::move(socket))
    , m_environment(std::move(environment))
    , m_parser(m_environment->settings.limits, m_environment->settings.budget)
    , m_output(m_environment->settings.budget)
    , m_callersTurn(steadyNow())
    , m_progress(m_callersTurn)
    , m_buffers(m_environment->settings.budget)
{
    m_environment->connections.fetch_add(1, std::memory_order_relaxed);
    if (m_environment->settings.budget) {
        m_environment->settings.budget->add(*this);
    }
    countBuffers();
    boost::system::error_code error;
    const auto caller = m_socket.remote_endpoint(error);
    m_callerAddress = error ? std::string() : caller.address().to_string();
}

http_session::~http_session()
{
    if (!isClosed()) {
        m_environment->connections.fetch_sub(1, std::memory_order_relaxed);
        if (m_environment->settings.budget) {
            m_environment->settings.budget->remove(*this);
        }
    }
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

time_span http_session::extraTime(std::size_t bytes)
{
    return std::chrono::duration_cast<time_span>(std::chrono::duration<double>(static_cast<double>(bytes) / bytesPerExtraSecond));
}

void http_session::updateDeadline()
{
    const bool idle = m_lingering || (!isReceiving() && m_writeDeadline == noDeadline && m_pending.empty());
    m_idleDeadline = idle ? steadyNow() + (m_lingering ? lingerTimeout : m_environment->settings.idleTimeout) : noDeadline;
    const monotonic_time deadline = std::min({ m_requestDeadline, m_writeDeadline, m_idleDeadline });
    m_deadline.store(deadline.time_since_epoch().count(), std::memory_order_relaxed);
}

void http_session::closeIfOverdue(monotonic_time now)
{
    if (now.time_since_epoch().count() >= m_deadline.load(std::memory_order_relaxed)) {
        boost::asio::dispatch(m_strand, [self = shared_from_this(), now] {
            self->expire(now);
        });
    }
}

void http_session::expire(monotonic_time now)
{
    if (isClosed()) {
        return;
    }
    boost::system::error_code error;
    if (m_readActive && m_socket.available(error) > 0) {
        // It was sent in time, but this process has not read it, as it was paused or busy.
        return;
    }
    const bool requestOverdue = now >= m_requestDeadline;
    // Otherwise the rest of the request may have been received already.
    const bool callerIsLate = requestOverdue && m_readActive && readsNextRequest();
    if (now >= m_idleDeadline) {
        closeOnStrand();
    } else if (now >= m_writeDeadline || (callerIsLate && m_pending.empty())) {
        record(resource_event::closed_for_time);
        closeOnStrand();
    } else if (callerIsLate) {
        record(resource_event::closed_for_time);
        // The requests before the overdue one still get their answers.
        m_noMoreRequests = true;
        m_pending.back().keepAlive = false;
        discardRequest();
        updateDeadline();
    } else if (requestOverdue) {
        // What the caller sends is not read, or not handed on, at present.
        m_requestDeadline = now + m_environment->settings.headerTimeout;
        updateDeadline();
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
        const bool receiving = self->isReceiving() || !self->m_unparsed.empty();
        const bool answering = !self->m_pending.empty() || !self->m_output.empty() || self->m_lingering;
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
    m_environment->connections.fetch_sub(1, std::memory_order_relaxed);
    if (m_environment->settings.budget) {
        m_environment->settings.budget->remove(*this);
    }
    boost::system::error_code ignored;
    m_socket.close(ignored);
    for (pending_answer &pending : m_pending) {
        if (pending.disconnectHandler) {
            functions.push_back(std::move(pending.disconnectHandler));
        }
        if (pending.response) {
            pending.response->body.releaseReservations();
        }
    }
    m_parser.releaseReservations();
    m_output.releaseReservations();
    m_buffers.release();
    // Callers of this function and operations that are in progress may use the buffers, so that they are freed later.
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->m_pending.clear();
        self->m_unparsed = {};
        self->discardRequest();
    });
    return functions;
}

} // namespace sycamoretray::detail
