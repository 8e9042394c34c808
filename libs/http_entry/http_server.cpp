#include "http_entry/http_server.h"

#include "executor/steady_time.h"
#include "http_client/detail/endpoint_address.h"
#include "http_entry/detail/http_session.h"
#include "observability/event_log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <vector>

namespace sycamoretray
{

using detail::http_session;

namespace
{

// Interval between checks of connection timeouts. One periodic sweep costs less than a timer for each request.
constexpr std::chrono::milliseconds sweepInterval(250);
constexpr std::chrono::milliseconds acceptRetryInterval(50);

} // namespace

answer_handle::answer_handle(std::shared_ptr<http_session> session, std::uint64_t sequence)
    : m_session(std::move(session))
    , m_sequence(sequence)
{
}

answer_handle::~answer_handle()
{
    if (!m_answered.exchange(true)) {
        m_session->deliver(m_sequence, std::nullopt, true);
    }
}

void answer_handle::answer(http_response response, bool closeConnection)
{
    if (!m_answered.exchange(true)) {
        m_session->deliver(m_sequence, std::move(response), closeConnection);
    }
}

const std::string &answer_handle::callerAddress() const noexcept
{
    return m_session->callerAddress();
}

bool answer_handle::callerDisconnected() const noexcept
{
    return m_session->isClosed();
}

void answer_handle::onCallerDisconnected(std::function<void()> function)
{
    m_session->onCallerDisconnected(m_sequence, std::move(function));
}

struct http_server::impl : std::enable_shared_from_this<impl> {
    using strand_type = http_session::strand_type;

    impl(boost::asio::io_context &givenContext, http_server_settings settings, http_request_handler handler)
        : context(&givenContext)
        , strand(boost::asio::make_strand(givenContext))
        , acceptor(strand)
        , sweepTimer(strand)
        , retryTimer(strand)
        , environment(std::make_shared<detail::session_environment>())
    {
        environment->settings = std::move(settings);
        environment->handler = std::move(handler);
    }

    boost::asio::io_context *context;
    strand_type strand;
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, strand_type> acceptor;
    boost::asio::steady_timer sweepTimer;
    boost::asio::steady_timer retryTimer;
    std::shared_ptr<detail::session_environment> environment;
    std::vector<std::weak_ptr<http_session>> sessions;
    bool stopped = false;
    std::uint16_t boundPort = 0;

    std::error_code listen()
    {
        boost::asio::ip::tcp::endpoint endpoint;
        if (!detail::parseAddress(environment->settings.address, endpoint)) {
            return std::make_error_code(std::errc::invalid_argument);
        }
        boost::system::error_code error;
        acceptor.open(endpoint.protocol(), error);
        if (!error) {
            acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
        }
        if (!error && environment->settings.socketBufferBytes > 0) {
            // Accepted connections inherit these. If the system refuses, its own sizes hold.
            const int bytes = static_cast<int>(environment->settings.socketBufferBytes);
            boost::system::error_code ignored;
            acceptor.set_option(boost::asio::socket_base::receive_buffer_size(bytes), ignored);
            acceptor.set_option(boost::asio::socket_base::send_buffer_size(bytes), ignored);
        }
        if (!error) {
            acceptor.bind(endpoint, error);
        }
        if (!error) {
            acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
        }
        if (!error) {
            boundPort = acceptor.local_endpoint(error).port();
        }
        return error;
    }

    void acceptNext()
    {
        acceptor.async_accept(boost::asio::make_strand(*context),
                              [self = shared_from_this()](const boost::system::error_code &error, http_session::socket_type socket) {
                                  self->accepted(error, std::move(socket));
                              });
    }

    void accepted(const boost::system::error_code &error, http_session::socket_type socket)
    {
        if (stopped || !acceptor.is_open()) {
            if (!error && !stopped) {
                addSession(std::move(socket));
            }
            return;
        }
        if (error) {
            // For example, no file descriptors are left. Retrying without a delay would keep a core busy.
            retryTimer.expires_after(acceptRetryInterval);
            retryTimer.async_wait([self = shared_from_this()](const boost::system::error_code &waitError) {
                if (!waitError && !self->stopped) {
                    self->acceptNext();
                }
            });
            return;
        }
        addSession(std::move(socket));
        acceptNext();
    }

    /** Returns whether a new connection may be kept, after closing one that gives way if necessary. */
    bool admit() const
    {
        const http_server_settings &settings = environment->settings;
        const std::uint32_t open = environment->connections.load(std::memory_order_relaxed);
        const std::uint32_t mayOpen = settings.maxConnections - std::min(open, settings.maxConnections);
        if (settings.budget) {
            return settings.budget->admitConnection(settings.name, mayOpen, http_session::idleMemory, settings.purpose);
        }
        if (mayOpen == 0) {
            logEvent(event_severity::warning, "connection_refused", { { "limit", std::to_string(settings.maxConnections) } });
        }
        return mayOpen > 0;
    }

    void sweep()
    {
        sweepTimer.expires_after(sweepInterval);
        sweepTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (error || !self || self->stopped) {
                return;
            }
            const monotonic_time now = steadyNow();
            std::erase_if(self->sessions, [&](const std::weak_ptr<http_session> &entry) {
                const auto session = entry.lock();
                if (session) {
                    session->closeIfOverdue(now);
                }
                return !session || session->isClosed();
            });
            self->sweep();
        });
    }

    /** Accepts all connections in the accept queue before closing the listener, because closing it would reset them. */
    void closeListener()
    {
        boost::system::error_code error;
        acceptor.non_blocking(true, error);
        while (!error && acceptor.is_open()) {
            http_session::socket_type socket(boost::asio::make_strand(*context));
            acceptor.accept(socket, error);
            if (!error) {
                addSession(std::move(socket));
            }
        }
        acceptor.close(error);
    }

    void addSession(http_session::socket_type socket)
    {
        if (!admit()) {
            return;
        }
        auto session = std::make_shared<http_session>(std::move(socket), environment);
        sessions.push_back(session);
        session->start();
    }

    void stopOnStrand()
    {
        stopped = true;
        boost::system::error_code ignored;
        acceptor.close(ignored);
        sweepTimer.cancel();
        retryTimer.cancel();
        for (const auto &entry : sessions) {
            if (const auto session = entry.lock()) {
                session->close();
            }
        }
        sessions.clear();
    }
};

http_server::http_server(boost::asio::io_context &context, http_server_settings settings, http_request_handler handler)
    : d(std::make_shared<impl>(context, std::move(settings), std::move(handler)))
{
}

http_server::~http_server()
{
    stop();
}

std::error_code http_server::start()
{
    const std::error_code error = d->listen();
    if (!error) {
        boost::asio::post(d->strand, [impl = d] {
            impl->acceptNext();
            impl->sweep();
        });
    }
    return error;
}

std::uint16_t http_server::port() const noexcept
{
    return d->boundPort;
}

void http_server::setLimits(const caller_transfer_limits &limits)
{
    http_server_settings &settings = d->environment->settings;
    settings.limits = limits.message;
    settings.headerTimeout = limits.headerTimeout;
    settings.idleTimeout = limits.idleTimeout;
}

void http_server::closeAfterAnswer()
{
    d->environment->closeAfterAnswer.store(true);
}

void http_server::closeIdle()
{
    boost::asio::dispatch(d->strand, [impl = d] {
        for (const auto &entry : impl->sessions) {
            if (const auto session = entry.lock()) {
                session->closeIfIdle();
            }
        }
    });
}

void http_server::stopListening()
{
    boost::asio::dispatch(d->strand, [impl = d] {
        impl->closeListener();
    });
}

void http_server::stop()
{
    boost::asio::dispatch(d->strand, [impl = d] {
        impl->stopOnStrand();
    });
}

std::uint32_t http_server::connections() const noexcept
{
    return d->environment->connections.load(std::memory_order_relaxed);
}

} // namespace sycamoretray
