#include "http_client/http_connection_pool.h"

#include "executor/detail/serial_executor_state.h"
#include "executor/steady_time.h"
#include "http_client/detail/client_connection.h"
#include "http_client/detail/endpoint_address.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace sycamoretray
{

using detail::client_connection;
using detail::pending_exchange;

namespace
{

// Precision of deadlines. Deadlines that are close together share one timer expiry.
constexpr std::chrono::milliseconds minSweepDelay(2);
// Minimum interval between attempts to open spare connections to a server that refuses or closes them.
constexpr std::chrono::milliseconds spareRetryInterval(100);

connection_event outcomeOf(const http_exchange_result &result)
{
    if (result.code == result_code::ok) {
        return connection_event::answered;
    }
    return result.code == result_code::deadline_while_running ? connection_event::unanswered : connection_event::lost;
}

} // namespace

struct http_connection_pool::impl : client_connection::observer, std::enable_shared_from_this<impl> {
    impl(serial_executor givenExecutor, const network_address &address, connection_pool_settings givenSettings)
        : executor(std::move(givenExecutor))
        , settings(std::move(givenSettings))
        , sweepTimer(executor.state().strand)
    {
        addressValid = detail::parseAddress(address, endpoint);
    }

    serial_executor executor;
    connection_pool_settings settings;
    boost::asio::ip::tcp::endpoint endpoint;
    bool addressValid = false;
    bool closed = false;
    /** Opening the single connection was attempted. */
    bool opened = false;
    /** A connection was established. */
    bool established = false;
    bool sweeping = false;
    /** Expiry time of the timer while sweeping is true. */
    monotonic_time sweepAt;
    std::uint64_t lastId = 0;
    monotonic_time spareRetryAt;
    boost::asio::steady_timer sweepTimer;
    std::vector<std::shared_ptr<client_connection>> connections;
    /** Ordered by last use; the most recently used connection is at the back and is used first. */
    std::vector<client_connection *> idle;
    std::deque<pending_exchange> waiting;

    void observe(connection_event event) const
    {
        if (settings.observe) {
            settings.observe(event);
        }
    }

    std::size_t connectingCount() const
    {
        return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(), [](const auto &connection) {
            return !connection->isConnected();
        }));
    }

    bool isUsable() const
    {
        return addressValid && !(settings.singleConnection && opened && connections.empty());
    }

    void openOne()
    {
        opened = true;
        auto connection = std::make_shared<client_connection>(executor.state().strand, *this, settings);
        connection->deadline = steadyNow() + settings.connectTimeout;
        connections.push_back(connection);
        connection->connect(endpoint);
        armSweep();
    }

    void openNeeded()
    {
        if (closed || !addressValid) {
            return;
        }
        if (settings.singleConnection && opened) {
            if (connections.empty()) {
                failWaiting();
            }
            return;
        }
        const std::size_t connecting = connectingCount();
        std::size_t wanted = waiting.size();
        if (steadyNow() >= spareRetryAt && settings.spareConnections > idle.size()) {
            wanted += settings.spareConnections - idle.size();
        }
        std::size_t needed = wanted > connecting ? wanted - connecting : 0;
        makeRoomForWaiting();
        needed = std::min(needed, settings.maxConnections - std::min<std::size_t>(connections.size(), settings.maxConnections));
        for (std::size_t i = 0; i < needed; ++i) {
            openOne();
        }
    }

    /** Closes an idle connection if requests that it does not suit wait and no other connection can be opened. */
    void makeRoomForWaiting()
    {
        if (!waiting.empty() && !idle.empty() && connections.size() >= settings.maxConnections && connectingCount() == 0) {
            client_connection &leastUsed = *idle.front();
            leastUsed.close();
            remove(leastUsed);
        }
    }

    /** Returns the most recently used idle connection that suits @p exchange, no longer idle; nullptr if there is none. */
    client_connection *takeIdle(const pending_exchange &exchange)
    {
        const auto found = std::find_if(idle.rbegin(), idle.rend(), [&](const client_connection *connection) {
            return connection->suits(exchange);
        });
        if (found == idle.rend()) {
            return nullptr;
        }
        client_connection *connection = *found;
        std::erase(idle, connection);
        return connection;
    }

    /** Starts @p exchange on an idle connection that suits it; returns false if there is none. */
    bool startOnIdle(pending_exchange &exchange)
    {
        while (client_connection *connection = takeIdle(exchange)) {
            if (!connection->hasUnreadData()) {
                connection->start(std::move(exchange));
                return true;
            }
            // Data that arrived before the request is not the response to it.
            connection->close();
            remove(*connection);
        }
        return false;
    }

    /** Starts the requests that an idle connection suits, so that none that still waits can use one. */
    void startWaiting()
    {
        const monotonic_time now = steadyNow();
        for (auto next = waiting.begin(); next != waiting.end() && !idle.empty();) {
            // After a pause of the process, the sweep that fails expired requests may still be due.
            const bool started = next->deadline > now && startOnIdle(*next);
            next = started ? waiting.erase(next) : std::next(next);
        }
        openNeeded();
    }

    void remove(client_connection &connection)
    {
        std::erase(idle, &connection);
        std::erase_if(connections, [&](const auto &candidate) {
            return candidate.get() == &connection;
        });
    }

    void failWaiting()
    {
        for (const pending_exchange &exchange : std::exchange(waiting, {})) {
            failLater(exchange.done);
        }
    }

    /** Why a request was not sent: the single connection was lost, which says nothing about the server, or the server cannot be reached. */
    result_code unsentCode() const
    {
        return settings.singleConnection && established ? result_code::server_connection_lost : result_code::peer_unreachable;
    }

    /** Fails an exchange of which nothing was sent. */
    void failLater(callback done)
    {
        boost::asio::post(executor.state().strand, [weak = weak_from_this(), done = std::move(done)] {
            const auto self = weak.lock();
            if (self && !self->closed) {
                pending_exchange unsent;
                unsent.done = done;
                failUnsent(unsent, self->unsentCode());
            }
        });
    }

    void closeIdle()
    {
        while (!idle.empty()) {
            client_connection &connection = *idle.back();
            connection.close();
            remove(connection);
        }
    }

    static void failUnsent(const pending_exchange &exchange, result_code code)
    {
        http_exchange_result result;
        result.code = code;
        result.sent = false;
        exchange.done(std::move(result));
    }

    void connected(client_connection &connection) override
    {
        observe(connection_event::opened);
        established = true;
        connection.deadline = steadyNow() + settings.idleTimeout;
        idle.push_back(&connection);
        startWaiting();
    }

    void connectFailed(client_connection &connection) override
    {
        notOpened(connection, connection_event::refused);
    }

    void notOpened(client_connection &connection, connection_event event)
    {
        const auto self = shared_from_this();
        observe(event);
        remove(connection);
        spareRetryAt = steadyNow() + spareRetryInterval;
        // One failed connection fails one request. The others may still get the connections being opened.
        std::optional<pending_exchange> failed;
        if (!waiting.empty()) {
            failed = std::move(waiting.front());
            waiting.pop_front();
        }
        startWaiting();
        // Last, because the callback may replace the pool.
        if (failed) {
            failUnsent(*failed, result_code::peer_unreachable);
        }
    }

    void finished(client_connection &connection, pending_exchange exchange, http_exchange_result result, bool reusable) override
    {
        const auto self = shared_from_this();
        observe(outcomeOf(result));
        if (reusable) {
            connection.deadline = steadyNow() + settings.idleTimeout;
            idle.push_back(&connection);
        } else {
            remove(connection);
        }
        if (settings.closeIdleAfterTimeout && result.code == result_code::deadline_while_running) {
            closeIdle();
        }
        startWaiting();
        armSweep();
        exchange.done(std::move(result));
    }

    void closedIdle(client_connection &connection, bool byError) override
    {
        const auto self = shared_from_this();
        if (byError) {
            observe(connection_event::lost);
        }
        remove(connection);
        spareRetryAt = steadyNow() + spareRetryInterval;
        openNeeded();
        armSweep();
    }

    void armSweep()
    {
        const monotonic_time next = closed ? monotonic_time::max() : nextDeadline();
        if (next == monotonic_time::max() || (sweeping && sweepAt <= next)) {
            return;
        }
        sweeping = true;
        sweepAt = next;
        sweepTimer.expires_after(std::max<time_span>(next - steadyNow(), minSweepDelay));
        sweepTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self && !self->closed) {
                self->sweeping = false;
                self->sweep();
            }
        });
    }

    void sweep()
    {
        const monotonic_time now = steadyNow();
        const auto snapshot = connections;
        for (const auto &connection : snapshot) {
            sweepConnection(*connection, now);
            if (closed) {
                return;
            }
        }
        expireWaiting(now);
        if (closed) {
            return;
        }
        openNeeded();
        armSweep();
    }

    monotonic_time nextDeadline() const
    {
        monotonic_time next = monotonic_time::max();
        for (const auto &connection : connections) {
            const bool kept = connection->isConnected() && !connection->isBusy() && idle.size() <= settings.spareConnections;
            if (!kept) {
                next = std::min(next, connection->isBusy() ? std::min(connection->exchange().deadline, connection->windowCheckAt()) : connection->deadline);
            }
        }
        for (const pending_exchange &exchange : waiting) {
            next = std::min(next, exchange.deadline);
        }
        if (addressValid && idle.size() + connectingCount() < settings.spareConnections) {
            next = std::min(next, std::max<monotonic_time>(spareRetryAt, steadyNow()));
        }
        return next;
    }

    void expireWaiting(monotonic_time now)
    {
        const auto firstExpired = std::stable_partition(waiting.begin(), waiting.end(), [&](const pending_exchange &exchange) {
            return exchange.deadline > now;
        });
        const std::vector<pending_exchange> expired(std::make_move_iterator(firstExpired), std::make_move_iterator(waiting.end()));
        waiting.erase(firstExpired, waiting.end());
        const result_code code = settings.singleConnection && established ? result_code::server_connection_lost : result_code::deadline_while_running;
        for (const pending_exchange &exchange : expired) {
            if (!closed) {
                failUnsent(exchange, code);
            }
        }
    }

    void sweepConnection(client_connection &connection, monotonic_time now)
    {
        if (connection.isBusy()) {
            if (connection.exchange().deadline <= now) {
                connection.fail(result_code::deadline_while_running);
            } else if (connection.windowCheckAt() <= now) {
                connection.checkWindow(now);
            }
        } else if (!connection.isConnected()) {
            if (connection.deadline <= now && std::any_of(connections.begin(), connections.end(), [&](const auto &candidate) {
                    return candidate.get() == &connection;
                })) {
                connection.close();
                notOpened(connection, connection_event::connect_timed_out);
            }
        } else if (connection.deadline <= now && idle.size() > settings.spareConnections) {
            connection.close();
            remove(connection);
        }
    }

    void shutDown()
    {
        closed = true;
        sweepTimer.cancel();
        for (const auto &connection : connections) {
            // Discards what has not been sent yet: the callers no longer learn whether it arrives.
            connection->isBusy() ? connection->reset() : connection->close();
        }
        connections.clear();
        idle.clear();
        waiting.clear();
    }
};

http_connection_pool::http_connection_pool(serial_executor executor, const network_address &address, connection_pool_settings settings)
    : d(std::make_shared<impl>(std::move(executor), address, std::move(settings)))
{
}

http_connection_pool::~http_connection_pool()
{
    d->shutDown();
}

void http_connection_pool::open()
{
    d->openNeeded();
    d->armSweep();
}

std::uint64_t http_connection_pool::exchange(http_wire wire, bool headRequest, time_span timeout, callback done, response_matching matching)
{
    const std::uint64_t id = ++d->lastId;
    if (!d->isUsable()) {
        d->failLater(std::move(done));
        return id;
    }
    pending_exchange exchange{ id, std::move(wire), headRequest, steadyNow() + timeout, std::move(done), std::move(matching) };
    if (!d->startOnIdle(exchange)) {
        d->waiting.push_back(std::move(exchange));
    }
    d->openNeeded();
    d->armSweep();
    return id;
}

void http_connection_pool::abort(std::uint64_t exchange)
{
    std::erase_if(d->waiting, [&](const pending_exchange &candidate) {
        return candidate.id == exchange;
    });
    for (const auto &connection : d->connections) {
        if (connection->isBusy() && connection->exchange().id == exchange) {
            const auto kept = connection;
            kept->reset();
            d->remove(*kept);
            d->startWaiting();
            return;
        }
    }
}

bool http_connection_pool::isUsable() const noexcept
{
    return d->isUsable();
}

std::uint32_t http_connection_pool::openConnections() const noexcept
{
    return static_cast<std::uint32_t>(d->connections.size());
}

} // namespace sycamoretray
