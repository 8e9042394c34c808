#include "sycamoretrayd/instance_daemon.h"

#include "executor/steady_time.h"
#include "http_entry/http_server.h"
#include "observability/event_log.h"
#include "observability/metrics.h"
#include "peer_transport/peer_transport.h"
#include "sycamoretrayd/administration.h"
#include "sycamoretrayd/control_loop.h"
#include "sycamoretrayd/daemon_signals.h"
#include "sycamoretrayd/entry_router.h"
#include "sycamoretrayd/forward_codec.h"
#include "sycamoretrayd/home_manager.h"
#include "sycamoretrayd/peer_message_handler.h"
#include "sycamoretrayd/request_id_generator.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace sycamoretray
{

namespace
{

constexpr std::uint32_t stopPollMilliseconds = 20;
/** Minimum time after the last answer before the process exits, so that it can be sent. */
constexpr time_span answerFlushTime = std::chrono::milliseconds(200);
/**
 * Connections are closed with the answer to their next request, so that callers connect to another instance. Those that are
 * still open this long after the last open request are closed without one.
 */
constexpr time_span idleConnectionLimit = std::chrono::seconds(2);

controller_settings controllerSettings(const daemon_settings &settings, const incarnation_id &incarnation)
{
    controller_settings result;
    result.instance = settings.instance;
    result.incarnation = incarnation;
    result.zone = settings.zone;
    result.peerAddress = settings.advertisedPeerAddress.value().empty() ? settings.peerAddress : settings.advertisedPeerAddress;
    result.callerAddress = settings.callerAddress;
    result.adminAddress = settings.adminAddress;
    result.seed = std::hash<incarnation_id>{}(incarnation);
    result.timing = settings.ownership;
    return result;
}

http_server_settings callerServerSettings(const daemon_settings &settings)
{
    http_server_settings result;
    result.address = settings.callerAddress;
    result.limits.headerBytes = settings.callers.headerBytes;
    result.maxConnections = settings.callers.connections;
    result.transferTimeout = settings.callers.transferTimeout;
    result.idleTimeout = settings.callers.idleTimeout;
    return result;
}

http_server_settings adminServerSettings(const daemon_settings &settings)
{
    http_server_settings result;
    result.address = settings.adminAddress;
    constexpr std::uint64_t documentBytes = 1024ULL * 1024;
    result.limits.bodyBytes = documentBytes;
    constexpr std::uint32_t adminConnections = 64;
    result.maxConnections = adminConnections;
    return result;
}

} // namespace

struct instance_daemon::impl {
    impl(daemon_settings givenSettings, std::string peerSecret, std::string adminToken);

    void createComponents(std::string peerSecret);
    void createServers(std::string adminToken);
    bool listen();
    void runThreads();
    void requestStop();
    void waitForOpenRequests();
    void checkOpenRequests();
    void registerGauges();

    daemon_settings settings;
    incarnation_id incarnation;
    boost::asio::io_context workers;
    boost::asio::io_context controlContext{ 1 };
    serial_executor controlExecutor{ controlContext };
    serial_executor entryExecutor{ workers };
    metrics_registry metrics;
    std::shared_ptr<routing_store> routing = std::make_shared<routing_store>();
    std::shared_ptr<home_registry> homes = std::make_shared<home_registry>();
    std::shared_ptr<peer_directory> peers = std::make_shared<peer_directory>();
    std::shared_ptr<entry_router> entry;
    std::shared_ptr<home_manager> manager;
    std::shared_ptr<peer_message_handler> messageHandler;
    std::shared_ptr<control_loop> control;
    std::shared_ptr<administration> admin;
    std::unique_ptr<daemon_signals> signalHandler;
    std::unique_ptr<peer_transport> transport;
    std::unique_ptr<http_server> callerServer;
    std::unique_ptr<http_server> adminServer;
    std::atomic<bool> accepting{ false };
    std::atomic<bool> stopRequested{ false };
    std::atomic<bool> waitingForOpenRequests{ false };
    monotonic_time stopDeadline{};
    /** When no open request was left, or the stop deadline had passed. */
    monotonic_time requestsDoneAt = monotonic_time::max();
};

instance_daemon::impl::impl(daemon_settings givenSettings, std::string peerSecret, std::string adminToken)
    : settings(std::move(givenSettings))
    , incarnation(generateIncarnation(settings.instance))
{
    createComponents(std::move(peerSecret));
    createServers(std::move(adminToken));
    registerGauges();
}

void instance_daemon::impl::createComponents(std::string peerSecret)
{
    const auto send = [this](const incarnation_id &to, const network_address &address, std::string message) {
        transport->send(to, address, std::move(message));
    };
    entry = std::make_shared<entry_router>(entryExecutor, entry_environment{ incarnation, routing, homes, peers, send, &metrics });
    const auto toController = [this](controller_event event) {
        control->post(std::move(event));
    };
    manager = std::make_shared<home_manager>(workers, home_manager_environment{ incarnation, routing, homes, peers, entry, send, toController, [this] {
                                                                                   transport->retain(peers->known());
                                                                               } });
    messageHandler = std::make_shared<peer_message_handler>(peer_message_environment{ incarnation, homes, peers, entry, send, toController });
    control_environment environment;
    environment.sendPeer = send;
    environment.execute = [this](const controller_action &action) {
        if (const auto *accept = std::get_if<accept_callers>(&action)) {
            accepting.store(accept->accept);
            entry->setAccepting(accept->accept, accept->reason);
            logEvent("accept_callers", { { "accept", accept->accept ? "true" : "false" }, { "reason", std::string(resultName(accept->reason)) } });
        } else {
            manager->execute(action);
        }
    };
    environment.operationCompleted = [this](const publish_outcome &outcome) {
        admin->operationCompleted(outcome);
    };
    environment.stopFinished = [this] {
        waitForOpenRequests();
    };
    control = std::make_shared<control_loop>(controlExecutor, controllerSettings(settings, incarnation), settings, std::move(environment));
    peer_transport_settings transportSettings;
    transportSettings.self = incarnation;
    transportSettings.address = settings.peerAddress;
    transportSettings.secret = std::move(peerSecret);
    transport = std::make_unique<peer_transport>(std::move(transportSettings),
                                                 peer_transport_callbacks{ [this](const incarnation_id &from, pb::PeerBatch &batch) {
                                                                              messageHandler->received(from, batch);
                                                                          },
                                                                           [this](const incarnation_id &peer) {
                                                                               entryExecutor.post([this, peer] {
                                                                                   entry->peerDisconnected(peer);
                                                                               });
                                                                           } });
}

void instance_daemon::impl::createServers(std::string adminToken)
{
    administration_environment environment;
    environment.token = std::move(adminToken);
    environment.control = control;
    environment.homes = homes;
    environment.routing = routing;
    environment.metrics = &metrics;
    environment.ready = [this] {
        return accepting.load() && !stopRequested.load();
    };
    environment.stop = [this] {
        requestStop();
    };
    admin = std::make_shared<administration>(std::move(environment));
    callerServer = std::make_unique<http_server>(workers, callerServerSettings(settings), [this](http_request request, std::shared_ptr<answer_handle> handle) {
        entry->handle(std::move(request), std::move(handle));
    });
    adminServer = std::make_unique<http_server>(
        controlContext, adminServerSettings(settings), [this](const http_request &request, const std::shared_ptr<answer_handle> &handle) {
            admin->handle(request, handle);
        });
    signalHandler = std::make_unique<daemon_signals>(controlContext,
                                                     signal_actions{ [this] {
                                                                        requestStop();
                                                                    },
                                                                     [this] {
                                                                         admin->dump([](const std::string &text) {
                                                                             logText("state_dump", text);
                                                                         });
                                                                     },
                                                                     {} });
}

void instance_daemon::impl::registerGauges()
{
    metrics.gauge("sycamoretray_open_requests", [this] {
        return static_cast<double>(entry->openRequests());
    });
    metrics.gauge("sycamoretray_caller_connections", [this] {
        return static_cast<double>(callerServer->connections());
    });
    metrics.gauge("sycamoretray_homes", [this] {
        return static_cast<double>(homes->all().size());
    });
    metrics.gauge("sycamoretray_peer_batches_sent", [this] {
        return static_cast<double>(transport->counts().batchesSent);
    });
    metrics.gauge("sycamoretray_peer_messages_sent", [this] {
        return static_cast<double>(transport->counts().messagesSent);
    });
    metrics.gauge("sycamoretray_peer_messages_dropped", [this] {
        return static_cast<double>(transport->counts().messagesDropped);
    });
    metrics.gauge("sycamoretray_peer_batches_refused", [this] {
        return static_cast<double>(transport->counts().batchesRefused);
    });
}

bool instance_daemon::impl::listen()
{
    const auto failed = [](const char *what, const network_address &address, const std::error_code &error) {
        if (error) {
            logEvent(event_severity::error, "listen_failed", { { "port", what }, { "address", address.value() }, { "error", error.message() } });
        }
        return static_cast<bool>(error);
    };
    return !failed("peer_address", settings.peerAddress, transport->start()) && !failed("admin_address", settings.adminAddress, adminServer->start())
        && !failed("caller_address", settings.callerAddress, callerServer->start());
}

void instance_daemon::impl::requestStop()
{
    if (stopRequested.exchange(true)) {
        return;
    }
    logEvent("stop_requested");
    entry->setAccepting(false, result_code::instance_stopping);
    callerServer->closeAfterAnswer();
    control->post(stop_requested{});
}

void instance_daemon::impl::waitForOpenRequests()
{
    if (waitingForOpenRequests.exchange(true)) {
        return;
    }
    time_span limit{};
    for (const routed_service &service : routing->get()->services()) {
        limit = std::max(limit, service.service.limits.leaveLimit);
    }
    stopDeadline = steadyNow() + limit;
    controlExecutor.repeat(stopPollMilliseconds, [this] {
        checkOpenRequests();
        return true;
    });
}

void instance_daemon::impl::checkOpenRequests()
{
    const monotonic_time now = steadyNow();
    if (entry->openRequests() > 0 && now < stopDeadline) {
        return;
    }
    if (requestsDoneAt == monotonic_time::max()) {
        requestsDoneAt = now;
        entry->failOpenRequests();
        control->unregister([] {});
        callerServer->stopListening();
    }
    const bool callersGone = callerServer->connections() == 0 || now - requestsDoneAt >= idleConnectionLimit;
    if (now - requestsDoneAt >= answerFlushTime && callersGone) {
        logEvent("stopped", { { "open_requests", std::to_string(entry->openRequests()) } });
        workers.stop();
        controlContext.stop();
    }
}

void instance_daemon::impl::runThreads()
{
    const auto keepWorkers = boost::asio::make_work_guard(workers);
    const auto keepControl = boost::asio::make_work_guard(controlContext);
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < std::max<std::uint32_t>(1, settings.workers); ++i) {
        threads.emplace_back([this] {
            workers.run();
        });
    }
    controlContext.run();
    for (std::thread &thread : threads) {
        thread.join();
    }
}

instance_daemon::instance_daemon(daemon_settings settings, std::string peerSecret, std::string adminToken)
    : d(std::make_unique<impl>(std::move(settings), std::move(peerSecret), std::move(adminToken)))
{
}

instance_daemon::~instance_daemon() = default;

int instance_daemon::run()
{
    logEvent("start",
             { { "incarnation", d->incarnation.value() },
               { "callers", d->settings.callerAddress.value() },
               { "peers", d->settings.peerAddress.value() },
               { "admin", d->settings.adminAddress.value() } });
    if (!d->listen()) {
        return 1;
    }
    d->entry->start();
    d->manager->start();
    d->control->start();
    d->runThreads();
    // The transport calls the other components from its own threads, so it is destroyed before them.
    d->transport.reset();
    return 0;
}

} // namespace sycamoretray
