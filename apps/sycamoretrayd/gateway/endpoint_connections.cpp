#include "sycamoretrayd/gateway/endpoint_connections.h"

#include "executor/steady_time.h"
#include "http_client/http_connection_pool.h"
#include "platform/order_codec.h"
#include "platform/request_codec.h"

#include <map>
#include <set>
#include <utility>

namespace sycamoretray
{

namespace
{

// Opening a connection takes 1 ms plus the network latency; an endpoint that takes this long is down or unreachable.
constexpr time_span connectTimeout = std::chrono::milliseconds(300);
// Half of the time after which endpoints close idle connections, so that both sides rarely close at once.
constexpr time_span idleTimeout = std::chrono::seconds(5);
// A request on a connection without any traffic is retried or failed after about this time.
constexpr time_span stalledConnectionTimeout = std::chrono::seconds(2);
// Longer than the longest interval between renewals.
constexpr time_span grantIdleTimeout = std::chrono::seconds(15);
constexpr std::uint32_t maxConnectionsPerEndpoint = 32;
constexpr time_span grantTimeout = std::chrono::milliseconds(250);
// An endpoint answers a release after its last request for the keys has ended, which takes up to the longest run time of a request.
constexpr time_span releaseTimeout = std::chrono::seconds(3);
constexpr time_span probeTimeout = std::chrono::milliseconds(500);
constexpr time_span unusedPoolTimeout = std::chrono::seconds(20);

connection_pool_settings poolSettings(const std::shared_ptr<resource_budget> &budget)
{
    connection_pool_settings settings;
    settings.budget = budget;
    settings.maxConnections = maxConnectionsPerEndpoint;
    settings.spareConnections = 0;
    settings.idleTimeout = idleTimeout;
    settings.connectTimeout = connectTimeout;
    settings.unresponsivePeerTimeout = stalledConnectionTimeout;
    settings.limits.allowCloseDelimitedBody = true;
    return settings;
}

struct endpoint_pool {
    std::unique_ptr<http_connection_pool> pool;
    monotonic_time used;
};

/** The connection on which grants are sent to an incarnation of an endpoint. */
struct grant_connection {
    std::shared_ptr<http_connection_pool> pool;
    /** Known after the first answer. */
    connection_number number;
    monotonic_time used;
};

struct running_attempt {
    network_address address;
    std::uint64_t exchange = 0;
};

} // namespace

struct endpoint_connections::impl {
    impl(serial_executor givenExecutor, std::shared_ptr<resource_budget> givenBudget, endpoint_observer givenObserver)
        : executor(std::move(givenExecutor))
        , budget(std::move(givenBudget))
        , observer(std::move(givenObserver))
    {
    }

    serial_executor executor;
    std::shared_ptr<resource_budget> budget;
    std::function<void(endpoint_attempt_id, endpoint_reply)> replied;
    endpoint_observer observer;
    std::map<network_address, endpoint_pool> pools;
    std::map<endpoint_incarnation, grant_connection> grantConnections;
    std::map<endpoint_attempt_id, running_attempt> attempts;

    connection_pool_settings observedSettings(const network_address &address)
    {
        connection_pool_settings settings = poolSettings(budget);
        settings.observe = [this, address](connection_event event) {
            observer.connectionEvent(address, event);
        };
        return settings;
    }

    http_connection_pool &poolOf(const network_address &address)
    {
        endpoint_pool &entry = pools[address];
        if (!entry.pool) {
            entry.pool = std::make_unique<http_connection_pool>(executor, address, observedSettings(address));
        }
        entry.used = steadyNow();
        return *entry.pool;
    }

    grant_connection &openGrantConnection(const endpoint_incarnation &endpoint)
    {
        grant_connection &connection = grantConnections[endpoint];
        if (!connection.pool || !connection.pool->isUsable()) {
            // The former pool is kept until the callbacks that it has posted have run.
            executor.post([former = std::move(connection.pool)] {});
            connection_pool_settings settings = observedSettings(endpoint.address);
            settings.singleConnection = true;
            settings.idleTimeout = grantIdleTimeout;
            connection = { std::make_shared<http_connection_pool>(executor, endpoint.address, std::move(settings)), {}, {} };
        }
        return connection;
    }

    /** Returns whether a connection that was used before can still be used. */
    bool isOpen(const endpoint_incarnation &endpoint, connection_number number) const
    {
        const auto found = grantConnections.find(endpoint);
        return found != grantConnections.end() && found->second.number == number && found->second.pool->isUsable();
    }

    void sendGrant(const send_grant &order, order_callback done)
    {
        if (order.connection && !isOpen(order.endpoint, *order.connection)) {
            executor.post([id = order.order, done = std::move(done)] {
                done(id, { order_outcome::connection_lost, {}, {} });
            });
            return;
        }
        grant_connection &connection = openGrantConnection(order.endpoint);
        connection.used = steadyNow();
        connection.pool->exchange(platform::encodeGrant(order), false, grantTimeout, [this, order, done = std::move(done)](const http_exchange_result &result) {
            order_reply reply = platform::decodeOrderReply(result);
            const auto found = grantConnections.find(order.endpoint);
            if (reply.outcome == order_outcome::accepted && found != grantConnections.end()) {
                found->second.number = reply.connection;
            }
            done(order.order, std::move(reply));
        });
    }

    void sendRelease(const send_release &order, order_callback done)
    {
        // Responses to orders name no order. A copy of an earlier response must not end the wait for the requests that still run.
        response_matching matching;
        matching.newConnection = true;
        const auto report = [id = order.order, done = std::move(done)](const http_exchange_result &result) {
            done(id, platform::decodeOrderReply(result));
        };
        poolOf(order.endpoint.address).exchange(platform::encodeRelease(order), false, releaseTimeout, report, std::move(matching));
    }
};

endpoint_connections::endpoint_connections(serial_executor executor, std::shared_ptr<resource_budget> budget, endpoint_observer observer)
    : d(std::make_unique<impl>(std::move(executor), std::move(budget), std::move(observer)))
{
}

endpoint_connections::~endpoint_connections() = default;

void endpoint_connections::setReplyHandler(std::function<void(endpoint_attempt_id, endpoint_reply)> handler)
{
    d->replied = std::move(handler);
}

void endpoint_connections::send(endpoint_attempt_id attempt, const endpoint_entry &endpoint, const gateway_request &request, time_span timeLeft)
{
    const network_address &address = endpoint.incarnation.address;
    http_wire wire = platform::encodeRequest(request, endpoint.incarnation.endpoint, timeLeft);
    const request_id id = request.id;
    const auto done = [this, attempt, id, address](http_exchange_result result) {
        if (d->attempts.erase(attempt) == 0) {
            // It was aborted after its failure had been posted.
            return;
        }
        d->observer.requestFinished(address);
        d->replied(attempt, platform::decodeReply(std::move(result), id));
    };
    response_matching matching;
    matching.matches = [id](const http_response &response) {
        return platform::belongsTo(response, id);
    };
    matching.identity = id.value();
    const std::uint64_t exchange = d->poolOf(address).exchange(std::move(wire), request.message.method == "HEAD", timeLeft, done, std::move(matching));
    d->attempts[attempt] = { address, exchange };
    d->observer.requestSent(address);
}

void endpoint_connections::abort(endpoint_attempt_id attempt)
{
    const auto found = d->attempts.find(attempt);
    if (found == d->attempts.end()) {
        return;
    }
    const running_attempt running = found->second;
    d->attempts.erase(found);
    d->observer.requestFinished(running.address);
    d->poolOf(running.address).abort(running.exchange);
}

void endpoint_connections::send(const send_grant &order, order_callback done)
{
    d->sendGrant(order, std::move(done));
}

void endpoint_connections::send(const send_release &order, order_callback done)
{
    d->sendRelease(order, std::move(done));
}

void endpoint_connections::send(const probe_endpoint &order, const std::string &healthPath, order_callback done)
{
    std::string wire = platform::encodeHealthCheck(order.endpoint, healthPath);
    response_matching matching;
    matching.matches = [](const http_response &response) {
        return !platform::namesRequest(response);
    };
    const auto report = [order, done = std::move(done)](const http_exchange_result &result) {
        done(order.order, platform::decodeHealthReply(result, order.endpoint.endpoint));
    };
    d->poolOf(order.endpoint.address).exchange(std::move(wire), false, probeTimeout, report, std::move(matching));
}

void endpoint_connections::closeGrantConnections()
{
    d->grantConnections.clear();
}

void endpoint_connections::closeUnused(monotonic_time now)
{
    const auto isUnused = [&](const auto &item) {
        return now - item.second.used > unusedPoolTimeout;
    };
    std::set<network_address> busy;
    for (const auto &[id, running] : d->attempts) {
        busy.insert(running.address);
    }
    std::erase_if(d->pools, [&](const auto &item) {
        return isUnused(item) && !busy.contains(item.first);
    });
    std::erase_if(d->grantConnections, isUnused);
}

} // namespace sycamoretray
