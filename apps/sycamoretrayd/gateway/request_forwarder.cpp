#include "sycamoretrayd/gateway/request_forwarder.h"

#include "executor/steady_time.h"
#include "gateway/peer_chooser.h"
#include "http_client/http_connection_pool.h"
#include "observability/event_log.h"
#include "sycamoretrayd/gateway/forwarding_codec.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamoretray
{

namespace
{

constexpr time_span connectTimeout = std::chrono::milliseconds(300);
constexpr time_span idleTimeout = std::chrono::seconds(10);
// For data that the peer's system does not acknowledge. A connection without data on the way fails after about 2 s.
constexpr time_span deadPeerTimeout = std::chrono::seconds(1);
constexpr time_span deadlineTolerance = std::chrono::milliseconds(5);
constexpr std::uint32_t maxConnectionsPerPeer = 64;
constexpr time_span unusedPoolTimeout = std::chrono::seconds(20);

connection_pool_settings poolSettings(const std::shared_ptr<resource_budget> &budget)
{
    connection_pool_settings settings;
    settings.budget = budget;
    settings.maxConnections = maxConnectionsPerPeer;
    settings.spareConnections = 0;
    settings.idleTimeout = idleTimeout;
    settings.connectTimeout = connectTimeout;
    settings.unresponsivePeerTimeout = deadPeerTimeout;
    return settings;
}

std::string_view outcomeName(const forward_reply &reply)
{
    if (std::holds_alternative<forward_answered>(reply)) {
        return "answered";
    }
    return std::holds_alternative<forward_lost>(reply) ? "lost" : "not_taken";
}

struct peer_pool {
    std::unique_ptr<http_connection_pool> pool;
    monotonic_time used;
};

struct running_forward {
    network_address peer;
    std::uint64_t exchange = 0;
    monotonic_time sent;
    monotonic_time deadline;
};

} // namespace

struct request_forwarder::impl {
    impl(serial_executor givenExecutor,
         network_address givenSelf,
         availability_zone zone,
         std::shared_ptr<resource_budget> givenBudget,
         metrics_registry &givenMetrics)
        : executor(std::move(givenExecutor))
        , self(std::move(givenSelf))
        , budget(std::move(givenBudget))
        , metrics(&givenMetrics)
        , chooser(std::move(zone))
    {
    }

    serial_executor executor;
    network_address self;
    std::shared_ptr<resource_budget> budget;
    metrics_registry *metrics;
    peer_chooser chooser;
    std::function<void(forward_id, forward_reply)> replied;
    std::map<network_address, peer_pool> pools;
    std::map<forward_id, running_forward> forwards;

    http_connection_pool &poolOf(const network_address &peer)
    {
        peer_pool &entry = pools[peer];
        if (!entry.pool) {
            entry.pool = std::make_unique<http_connection_pool>(executor, peer, poolSettings(budget));
        }
        entry.used = steadyNow();
        return *entry.pool;
    }

    void count(std::string_view outcome) const
    {
        metrics->counter("sycamoretray_forwards_total{outcome=\"" + std::string(outcome) + "\"}").add();
    }

    void release(const running_forward &running, peer_outcome outcome)
    {
        if (outcome == peer_outcome::unanswered) {
            chooser.unanswered(running.peer, running.sent, steadyNow());
        } else {
            chooser.finished(running.peer, outcome, steadyNow());
        }
    }

    void finish(forward_id id, const request_id &request, http_exchange_result result)
    {
        const auto found = forwards.find(id);
        if (found == forwards.end()) {
            // It was aborted after its failure had been posted.
            return;
        }
        const running_forward running = found->second;
        forwards.erase(found);
        decoded_forward_reply decoded = decodeForwardAnswer(std::move(result), request);
        release(running, decoded.peer);
        const std::string_view outcome = outcomeName(decoded.reply);
        count(outcome);
        if (!std::holds_alternative<forward_answered>(decoded.reply)) {
            logEvent("forward_failed", { { "id", request.value() }, { "peer", running.peer.value() }, { "outcome", std::string(outcome) } });
        }
        replied(id, std::move(decoded.reply));
    }
};

request_forwarder::request_forwarder(serial_executor executor,
                                     network_address self,
                                     availability_zone zone,
                                     std::shared_ptr<resource_budget> budget,
                                     metrics_registry &metrics)
    : d(std::make_unique<impl>(std::move(executor), std::move(self), std::move(zone), std::move(budget), metrics))
{
}

request_forwarder::~request_forwarder() = default;

void request_forwarder::setReplyHandler(std::function<void(forward_id, forward_reply)> handler)
{
    d->replied = std::move(handler);
}

void request_forwarder::setInstances(const coordinator_candidates &instances)
{
    std::vector<forwarding_peer> peers;
    for (const auto &[zone, candidates] : instances) {
        for (const coordinator_candidate &each : candidates) {
            if (each.address != d->self) {
                peers.push_back({ each.address, zone, each.weight });
            }
        }
    }
    d->chooser.setPeers(peers);
}

bool request_forwarder::forward(forward_id id, const gateway_request &request, const forward_mark &mark, time_span timeLeft)
{
    const std::optional<network_address> peer = d->chooser.choose(steadyNow());
    if (!peer) {
        d->count("no_peer");
        return false;
    }
    logEvent("request_forwarded", { { "id", request.id.value() }, { "peer", peer->value() } });
    const auto done = [this, id, requestId = request.id](http_exchange_result result) {
        d->finish(id, requestId, std::move(result));
    };
    response_matching matching;
    matching.matches = [requestId = request.id](const http_response &response) {
        return answersForward(response, requestId);
    };
    matching.identity = request.id.value();
    const bool head = request.message.method == "HEAD";
    const std::uint64_t exchange = d->poolOf(*peer).exchange(encodeForward(request, mark, timeLeft), head, timeLeft, done, std::move(matching));
    const monotonic_time now = steadyNow();
    d->forwards[id] = { *peer, exchange, now, now + timeLeft };
    return true;
}

void request_forwarder::abort(forward_id id)
{
    const auto found = d->forwards.find(id);
    if (found == d->forwards.end()) {
        return;
    }
    const running_forward running = found->second;
    d->forwards.erase(found);
    // The gateway gives a request up at its deadline, when the exchange has not ended yet.
    d->release(running, steadyNow() >= running.deadline - deadlineTolerance ? peer_outcome::unanswered : peer_outcome::unknown);
    d->poolOf(running.peer).abort(running.exchange);
}

void request_forwarder::closeUnused(monotonic_time now)
{
    std::set<network_address> busy;
    for (const auto &[id, running] : d->forwards) {
        busy.insert(running.peer);
    }
    std::erase_if(d->pools, [&](const auto &item) {
        return now - item.second.used > unusedPoolTimeout && !busy.contains(item.first);
    });
}

} // namespace sycamoretray
