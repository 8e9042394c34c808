#include "sycamoretrayd/gateway/gateway_daemon.h"

#include "directory/cold_endpoints.h"
#include "executor/detail/serial_executor_state.h"
#include "executor/steady_time.h"
#include "gateway/gateway.h"
#include "http_entry/http_server.h"
#include "metadata_store/counting_store.h"
#include "metadata_store/relay_standby.h"
#include "observability/event_log.h"
#include "observability/metrics.h"
#include "platform/request_codec.h"
#include "platform/store_client.h"
#include "platform/topics.h"
#include "sycamoretrayd/daemon_signals.h"
#include "sycamoretrayd/gateway/alternate_relays.h"
#include "sycamoretrayd/gateway/component_settings.h"
#include "sycamoretrayd/gateway/crash_report_channel.h"
#include "sycamoretrayd/gateway/endpoint_connection_log.h"
#include "sycamoretrayd/gateway/endpoint_connections.h"
#include "sycamoretrayd/gateway/forwarding_codec.h"
#include "sycamoretrayd/gateway/instance_publisher.h"
#include "sycamoretrayd/gateway/internal_api.h"
#include "sycamoretrayd/gateway/isolation_monitor.h"
#include "sycamoretrayd/gateway/load_report_channel.h"
#include "sycamoretrayd/gateway/memory_trimmer.h"
#include "sycamoretrayd/gateway/ownership_runner.h"
#include "sycamoretrayd/gateway/permit_service.h"
#include "sycamoretrayd/gateway/relayed_store.h"
#include "sycamoretrayd/gateway/request_forwarder.h"
#include "sycamoretrayd/gateway/resource_metrics.h"
#include "sycamoretrayd/gateway/store_feeds.h"
#include "sycamoretrayd/gateway/topic_relay.h"
#include "sycamoretrayd/gateway/upstream_relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace sycamoretray
{

namespace
{

constexpr std::uint32_t loadReportIntervalMilliseconds = 400;
constexpr std::uint32_t maintenanceIntervalMilliseconds = 200;
// The load balancer takes an instance out of rotation after two failed readiness checks, one per second.
constexpr time_span rotationRemovalTime = std::chrono::milliseconds(2300);
// From then on, answers close their connection, so that callers reconnect to another instance.
constexpr time_span keepAliveTime = std::chrono::milliseconds(900);
// Time for callers to read the last answers before the process exits.
constexpr time_span flushTime = std::chrono::milliseconds(250);
// The remaining requests are failed this long before the stop limit.
constexpr time_span stopReserve = std::chrono::milliseconds(500);
constexpr std::uint32_t stopPollMilliseconds = 50;
// An instance that is not a relay candidate reads all topics directly from the store if its zone has no relay after this time.
constexpr std::uint32_t relayWaitMilliseconds = 1000;
// An isolated instance says that it is not ready from this time on, so that callers connect to instances that reach endpoints.
constexpr time_span isolationNotReadyTime = std::chrono::seconds(1);
constexpr std::uint32_t storeCallLogIntervalMilliseconds = 5000;
constexpr std::uint32_t loadLogIntervalMilliseconds = 1000;

using answer_encoder = http_response (*)(gateway_answer answer, const request_id &id);

} // namespace

struct gateway_daemon::impl {
    impl(gateway_daemon_settings givenSettings, std::string givenSettingsFile);

    gateway_daemon_settings settings;
    std::string settingsFile;
    boost::asio::io_context context{ 1 };
    serial_executor executor{ context };
    boost::asio::steady_timer gatewayTimer{ executor.state().strand };
    monotonic_time gatewayTimerDueAt = monotonic_time::max();
    std::shared_ptr<resource_budget> budget;
    memory_trimmer trimmer;
    metrics_registry metrics;
    platform::store_client storeClient;
    counting_store store;
    topic_relay topicRelay;
    relayed_store relayedStore;
    endpoint_connection_log connectionLog{ metrics };
    isolation_monitor isolation;
    endpoint_connections endpoints;
    request_forwarder forwarder;
    gateway router;
    store_feeds feeds;
    cold_endpoints coldEndpoints;
    assigner_stop_client stopClient;
    ownership_runner ownership;
    datagram_channel datagrams;
    load_report_channel loadReports;
    crash_report_channel crashReports;
    permit_service permits;
    instance_publisher instancePublisher;
    internal_api internalApi;
    http_server callerServer;
    http_server readinessServer;
    daemon_signals signals;
    bool stopping = false;
    bool finished = false;
    monotonic_time stopStarted{};
    bool readinessLogged = false;
    monotonic_time storeAnsweredAt{};
    /** Number of calls to the store since they were last logged, by kind and subject. */
    std::map<std::string, std::uint64_t> storeCalls;

    int run();
    void startTimers();

    // --- callers ---

    void receive(http_request request, std::shared_ptr<answer_handle> handle);
    /** Receives a request that another instance forwarded. */
    void receiveForward(http_request request, std::shared_ptr<answer_handle> handle);
    void submit(gateway_request request, const std::shared_ptr<answer_handle> &handle, answer_encoder encode);
    void recordAnswer(const gateway_answer &answer, monotonic_time arrived);
    void armGatewayTimer();

    // --- state ---

    bool isReady();
    void storeAnswered();
    void chooseRelay();
    void runMaintenance();
    void reportLoad();
    void reportCrashes();
    /** Logs and counts a decision about requests or endpoints. */
    void logDecision(std::string_view event, const std::vector<std::pair<std::string, std::string>> &fields);
    void logStoreCalls();
    void logLimitedEndpointLoads();
    void logColdEndpoints();
    std::string dump();
    ownership_environment ownershipEnvironment();
    endpoint_observer endpointObserver();
    feed_observer feedObserver();
    permit_observer permitObserver();
    std::optional<availability_zone> zoneOf(const endpoint_incarnation &incarnation) const;

    void setIsolated(bool isolated);

    // --- stop ---

    void reload();
    void stop();
    bool continueStop();
    void finish();
};

gateway_daemon::impl::impl(gateway_daemon_settings givenSettings, std::string givenSettingsFile)
    : settings(std::move(givenSettings))
    , settingsFile(std::move(givenSettingsFile))
    , budget(callerBudget(settings))
    , storeClient(executor, settings.storeAddress)
    , store(storeClient,
            [this](std::string_view kind, const std::string &subject) {
                metrics.counter("sycamoretray_store_calls_total{call=\"" + std::string(kind) + "\",subject=\"" + subject + "\"}").add();
                ++storeCalls[std::string(kind) + ":" + subject];
            })
    , topicRelay(executor,
                 [this](bool forRelay) {
                     // A relay that reads from another relay serves no relays: two that read from each other would both miss new records.
                     // So would those that are each other's alternate.
                     return ownership.isCurrentRelay(forRelay) && !(forRelay && relayedStore.readsFromRelay()) && !relayedStore.readsFromAlternate();
                 })
    , relayedStore(store,
                   executor,
                   [this] {
                       return ownership.isStoreAnswering();
                   })
    , isolation(
          executor,
          [this](const network_address &endpoint, connection_event event) {
              connectionLog.record(endpoint, event);
          },
          [this](bool isolated) {
              setIsolated(isolated);
          })
    , endpoints(executor, budget, endpointObserver())
    , forwarder(executor, settings.internalAddress, settings.zone, budget, metrics)
    , router(gatewaySettings(settings),
             endpoints,
             [this](std::string_view event, const auto &fields) {
                 logDecision(event, fields);
             })
    , feeds(relayedStore, topicRelay, executor, feedObserver())
    , stopClient(executor)
    , ownership(executor,
                { settings.instance,
                  settings.zone,
                  newIncarnationName(settings.instance),
                  settings.internalAddress,
                  settings.memberTimeToLive,
                  settings.longestGrant,
                  settings.processorShare },
                ownershipEnvironment())
    , datagrams(context, settings.internalAddress)
    , loadReports(datagrams,
                  [this](const load_report &report) {
                      ownership.addLoad(report);
                  })
    , crashReports(datagrams,
                   settings.internalAddress,
                   [this](const std::vector<crash_report> &reports) {
                       router.addCrashes(reports, steadyNow());
                   })
    , permits(
          executor,
          datagrams,
          settings.internalAddress,
          [this](const endpoint_incarnation &incarnation) {
              return zoneOf(incarnation);
          },
          permitObserver(),
          [this](std::string_view event, const auto &fields) {
              logDecision(event, fields);
          })
    , instancePublisher(store, settings.zone, { settings.internalAddress, settings.processorShare })
    , internalApi(context,
                  executor,
                  internalServerSettings(settings, budget),
                  metrics,
                  { [this] {
                       return dump();
                   },
                    [this](std::uint64_t epoch) {
                        return ownership.stopAssigningBefore(epoch);
                    },
                    [this](http_request request, std::shared_ptr<answer_handle> handle) {
                        receiveForward(std::move(request), std::move(handle));
                    },
                    [this](const http_request &request, const std::shared_ptr<answer_handle> &handle) {
                        return topicRelay.handle(request, handle);
                    } })
    , callerServer(context,
                   callerServerSettings(settings, budget),
                   [this](http_request request, std::shared_ptr<answer_handle> handle) {
                       executor.dispatch([this, request = std::move(request), handle = std::move(handle)]() mutable {
                           receive(std::move(request), std::move(handle));
                       });
                   })
    , readinessServer(context,
                      readinessServerSettings(settings, budget),
                      [this](const http_request & /*request*/, std::shared_ptr<answer_handle> handle) {
                          executor.dispatch([this, handle = std::move(handle)] {
                              http_response response;
                              response.status = isReady() ? 200 : 503;
                              handle->answer(std::move(response));
                          });
                      })
    , signals(context,
              { [this] {
                   stop();
               },
                [this] {
                    logText("state_dump", dump());
                },
                [this] {
                    reload();
                } })
{
    endpoints.setReplyHandler([this](endpoint_attempt_id attempt, endpoint_reply reply) {
        router.replied(attempt, std::move(reply), steadyNow());
        armGatewayTimer();
    });
    forwarder.setReplyHandler([this](forward_id id, forward_reply reply) {
        router.forwarded(id, std::move(reply), steadyNow());
        armGatewayTimer();
    });
    router.setForwarding(forwarder);
    router.setPermits(permits.source());
    router.setLeavingHandler([this](const endpoint_incarnation &incarnation) {
        feeds.endpointLeaves(incarnation, steadyNow());
    });
    reportResources(*budget, metrics);
    relayedStore.setRelayTopic(platform::ownershipTopic);
    relayedStore.setReader(settings.internalAddress, settings.processorShare);
    topicRelay.setReaderCallback([this](const network_address &reader, double weight) {
        instancePublisher.instanceSeen(reader, weight, steadyNow());
    });
    metrics.gauge("sycamoretray_permits_waiting", [this] {
        return static_cast<double>(permits.waiting());
    });
    metrics.gauge("sycamoretray_permits_in_use", [this] {
        return static_cast<double>(permits.inUse());
    });
    permits.setPromiseObserver([this](promise_outcome outcome) {
        metrics.counter("sycamoretray_return_promises_total{outcome=\"" + std::string(toString(outcome)) + "\"}").add();
    });
    metrics.gauge("sycamoretray_isolated", [this] {
        return isolation.isIsolated() ? 1 : 0;
    });
    metrics.gauge("sycamoretray_store_era", [this] {
        return static_cast<double>(feeds.era().value());
    });
    metrics.gauge("sycamoretray_evacuated_zones", [this] {
        return static_cast<double>(feeds.evacuatedZones().size());
    });
    metrics.gauge("sycamoretray_assigner", [this] {
        return ownership.isLeader() ? 1.0 : 0.0;
    });
    metrics.gauge("sycamoretray_unresponsive_endpoints", [this] {
        return static_cast<double>(ownership.unresponsiveEndpoints());
    });
    metrics.gauge("sycamoretray_lapsed_keys", [this] {
        return static_cast<double>(ownership.lapsedKeys());
    });
    metrics.gauge("sycamoretray_limited_endpoints", [this] {
        return static_cast<double>(router.limitedEndpoints());
    });
    metrics.gauge("sycamoretray_cold_endpoints", [this] {
        return static_cast<double>(coldEndpoints.count());
    });
    metrics.gauge("sycamoretray_ejected_endpoints", [this] {
        return static_cast<double>(router.ejectedEndpoints() + permits.ejectedEndpoints());
    });
    metrics.gauge("sycamoretray_crash_suspects", [this] {
        return static_cast<double>(router.crashSuspects());
    });
    metrics.gauge("sycamoretray_requests_unfinished", [this] {
        return static_cast<double>(router.unfinished());
    });
}

ownership_environment gateway_daemon::impl::ownershipEnvironment()
{
    return { store,
             feeds,
             endpoints,
             [this](const network_address &assigner, std::uint64_t epoch, std::function<void(assigner_stop_answer)> done) {
                 stopClient.requestStop(assigner, epoch, std::move(done));
             },
             [this] {
                 storeAnswered();
             },
             [this] {
                 return relayedStore.relayFailureDuration();
             } };
}

endpoint_observer gateway_daemon::impl::endpointObserver()
{
    return { [this](const network_address &endpoint, connection_event event) {
                connectionLog.record(endpoint, event);
                isolation.record(endpoint, event);
            },
             [this](const network_address &endpoint) {
                 isolation.requestSent(endpoint);
             },
             [this](const network_address &endpoint) {
                 isolation.requestFinished(endpoint);
             } };
}

feed_observer gateway_daemon::impl::feedObserver()
{
    feed_observer observer;
    observer.endpointsChanged = [this] {
        permits.setEndpoints(feeds.directory().endpoints());
        isolation.setEndpoints(feeds.directory().endpoints());
        router.setEndpoints(feeds.directory().endpoints(), steadyNow());
        ownership.directoryChanged();
        logColdEndpoints();
        armGatewayTimer();
    };
    observer.endpointLeaves = [this](std::string_view source) {
        metrics.counter("sycamoretray_endpoints_leaving_total{source=\"" + std::string(source) + "\"}").add();
    };
    observer.routesChanged = [this] {
        callerServer.setLimits(transferLimits(feeds.routes()->limits()));
        internalApi.setLimits(internalTransferLimits(feeds.routes()->limits()));
        permits.setServices(feeds.routes()->services());
        router.setRoutes(feeds.routes(), steadyNow());
        armGatewayTimer();
        ownership.directoryChanged();
    };
    observer.relaysChanged = [this] {
        chooseRelay();
    };
    observer.instancesChanged = [this] {
        permits.setCandidates(feeds.instances());
        chooseRelay();
        forwarder.setInstances(feeds.instances());
        router.setInstances(static_cast<std::uint32_t>(candidateCount(feeds.instances())));
    };
    observer.storeRestored = [this] {
        ownership.storeRestored();
        instancePublisher.storeRestored();
    };
    observer.ownershipChanged = [this] {
        router.setOwnership(feeds.ownership(), steadyNow());
        chooseRelay();
        armGatewayTimer();
    };
    return observer;
}

permit_observer gateway_daemon::impl::permitObserver()
{
    permit_observer observer;
    observer.granted = [this](permit_id permit, const endpoint_id &endpoint, std::uint64_t startedAtMs, monotonic_time now) {
        metrics.counter("sycamoretray_permits_granted_total").add();
        router.permitGranted(permit, endpoint, startedAtMs, now);
        armGatewayTimer();
    };
    observer.refused = [this](permit_id permit, time_span retryAfter, monotonic_time now) {
        metrics.counter("sycamoretray_permits_refused_total").add();
        router.permitRefused(permit, retryAfter, now);
        armGatewayTimer();
    };
    observer.unavailable = [this](permit_id permit, monotonic_time now) {
        metrics.counter("sycamoretray_permits_unavailable_total").add();
        router.permitUnavailable(permit, now);
        armGatewayTimer();
    };
    observer.noEndpoint = [this](permit_id permit, monotonic_time now) {
        metrics.counter("sycamoretray_permits_unavailable_total").add();
        router.permitWithoutEndpoint(permit, now);
        armGatewayTimer();
    };
    return observer;
}

std::optional<availability_zone> gateway_daemon::impl::zoneOf(const endpoint_incarnation &incarnation) const
{
    const auto found = feeds.directory().endpoints().find(incarnation.endpoint);
    return found == feeds.directory().endpoints().end() ? std::nullopt : std::optional(found->second.entry.zone);
}

// --- callers ---

void gateway_daemon::impl::receive(http_request request, std::shared_ptr<answer_handle> handle)
{
    metrics.counter("sycamoretray_requests_total").add();
    auto decoded = platform::decodeRequest(std::move(request));
    if (const auto *code = std::get_if<result_code>(&decoded)) {
        logEvent("request_malformed", { { "code", std::string(resultName(*code)) } });
        handle->answer(platform::encodeAnswer({ std::nullopt, *code, std::nullopt }, {}));
        return;
    }
    auto accepted = std::get<gateway_request>(std::move(decoded));
    accepted.caller = handle->callerAddress();
    submit(std::move(accepted), handle, platform::encodeAnswer);
}

void gateway_daemon::impl::receiveForward(http_request request, std::shared_ptr<answer_handle> handle)
{
    metrics.counter("sycamoretray_forwarded_requests_total").add();
    auto decoded = decodeForward(std::move(request));
    if (const auto *code = std::get_if<result_code>(&decoded)) {
        logEvent("request_malformed", { { "code", std::string(resultName(*code)) } });
        handle->answer(encodeForwardError(*code));
        return;
    }
    auto forwarded = std::get<gateway_request>(std::move(decoded));
    if (stopping) {
        // Another instance can take it, and nothing that was read may be left when the process ends.
        handle->answer(encodeForwardAnswer({ std::nullopt, result_code::instance_stopping, std::nullopt }, forwarded.id));
        return;
    }
    submit(std::move(forwarded), handle, encodeForwardAnswer);
}

void gateway_daemon::impl::submit(gateway_request request, const std::shared_ptr<answer_handle> &handle, answer_encoder encode)
{
    const monotonic_time now = steadyNow();
    const auto answer = [this, handle, encode, id = request.id, now](gateway_answer result) {
        recordAnswer(result, now);
        const bool stopped = !result.response && result.code == result_code::instance_stopping;
        handle->answer(encode(std::move(result), id), stopped);
    };
    const gateway_request_id id = router.submit(std::move(request), answer, now);
    handle->onCallerDisconnected([this, id] {
        executor.dispatch([this, id] {
            metrics.counter("sycamoretray_requests_cancelled_total").add();
            router.cancel(id, steadyNow());
            armGatewayTimer();
        });
    });
    armGatewayTimer();
}

void gateway_daemon::impl::recordAnswer(const gateway_answer &answer, monotonic_time arrived)
{
    const std::string result = answer.response ? "endpoint" : std::string(resultName(answer.code));
    metrics.counter("sycamoretray_answers_total{result=\"" + result + "\"}").add();
    const time_span taken = steadyNow() - arrived;
    metrics.distribution("sycamoretray_request_seconds").record(std::chrono::duration<double>(taken).count());
}

void gateway_daemon::impl::armGatewayTimer()
{
    const monotonic_time due = router.nextDue();
    if (due >= gatewayTimerDueAt) {
        return;
    }
    gatewayTimerDueAt = due;
    gatewayTimer.expires_after(std::max<time_span>(time_span::zero(), due - steadyNow()));
    gatewayTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        gatewayTimerDueAt = monotonic_time::max();
        router.advance(steadyNow());
        armGatewayTimer();
    });
}

// --- state ---

void gateway_daemon::impl::setIsolated(bool isolated)
{
    router.setIsolated(isolated, steadyNow());
    ownership.setIsolated(isolated);
    if (isolation.isSilent()) {
        router.repeatUnanswered(steadyNow());
    }
    armGatewayTimer();
}

void gateway_daemon::impl::storeAnswered()
{
    // If the store did not answer for this time, the connections of waiting reads may be dead as well.
    constexpr time_span reconnectAfter = std::chrono::milliseconds(1500);
    const monotonic_time now = steadyNow();
    if (storeAnsweredAt != monotonic_time{} && now - storeAnsweredAt > reconnectAfter) {
        feeds.restart();
    }
    storeAnsweredAt = now;
    chooseRelay();
}

void gateway_daemon::impl::chooseRelay()
{
    const auto found = feeds.relays().find(settings.zone);
    if (found != feeds.relays().end()) {
        feeds.startAll();
    }
    relayedStore.setReadsForOthers(ownership.leadsZoneGroup());
    relayedStore.setAlternates(alternateRelays(feeds.relays(), feeds.instances(), settings.internalAddress));
    if (ownership.leadsZoneGroup()) {
        relayedStore.setRelay(ownership.isLeader() ? std::nullopt : upstreamRelay(feeds.ownership(), feeds.instances(), settings.internalAddress));
        return;
    }
    const bool own = found == feeds.relays().end() || found->second == settings.internalAddress;
    relayedStore.setRelay(own ? std::nullopt : std::optional(found->second));
}

bool gateway_daemon::impl::isReady()
{
    const bool ready = !stopping && feeds.isComplete() && !feeds.directory().endpoints().empty() && !isolation.isIsolatedFor(isolationNotReadyTime);
    if (ready && !std::exchange(readinessLogged, true)) {
        logEvent("instance_ready", { { "config", std::to_string(feeds.routes()->version()) } });
    }
    return ready;
}

void gateway_daemon::impl::runMaintenance()
{
    const monotonic_time now = steadyNow();
    feeds.expire(now);
    logColdEndpoints();
    instancePublisher.update(!stopping && ownership.isCurrentRelay(false) && feeds.isComplete(), feeds.instances(), now);
    endpoints.closeUnused(now);
    forwarder.closeUnused(now);
    if (trimmer.isDue(budget->takeHighest(), now)) {
        metrics.counter("sycamoretray_memory_returns_total").add();
        returnUnusedMemory();
    }
    const auto &listed = feeds.directory().endpoints();
    const bool anyLeaving = std::any_of(listed.begin(), listed.end(), [&](const auto &item) {
        const auto &evacuated = item.second.evacuatedSince;
        return item.second.entry.draining || (evacuated && now - *evacuated < settings.evacuationLimit);
    });
    if (anyLeaving) {
        // Draining and evacuated endpoints get no requests after a time; the router checks it in this call.
        router.setEndpoints(listed, now);
    }
    armGatewayTimer();
}

void gateway_daemon::impl::logColdEndpoints()
{
    for (const cold_endpoint_change &each : coldEndpoints.update(feeds.directory().endpoints(), steadyNow())) {
        if (each.remaining > time_span::zero()) {
            const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(each.remaining);
            logEvent("endpoint_cold", { { "endpoint", each.endpoint.value() }, { "ms", std::to_string(remaining.count()) } });
        } else {
            logEvent("endpoint_warm", { { "endpoint", each.endpoint.value() } });
        }
    }
}

void gateway_daemon::impl::reportLoad()
{
    std::vector<load_report> reports = router.takeLoadReports();
    if (isolation.isIsolated()) {
        // The failures were not the endpoints'.
        return;
    }
    for (load_report &report : reports) {
        if (ownership.addLoad(report)) {
            continue;
        }
        if (const ownership_record *record = feeds.ownership().record(report.service)) {
            loadReports.send(record->assigner, std::move(report));
        }
    }
}

void gateway_daemon::impl::reportCrashes()
{
    const std::vector<crash_report> reports = router.takeCrashReports(steadyNow());
    if (!reports.empty()) {
        crashReports.send(feeds.instances(), reports);
    }
}

void gateway_daemon::impl::logDecision(std::string_view event, const std::vector<std::pair<std::string, std::string>> &fields)
{
    metrics.counter("sycamoretray_router_events_total{event=\"" + std::string(event) + "\"}").add();
    if (event == "endpoint_ejected") {
        metrics.counter("sycamoretray_endpoints_ejected_total").add();
    }
    logEvent(event, fields);
}

void gateway_daemon::impl::logStoreCalls()
{
    if (storeCalls.empty()) {
        return;
    }
    std::vector<std::pair<std::string, std::string>> fields{ { "relay", ownership.leadsZoneGroup() ? "true" : "false" } };
    for (const auto &[call, count] : std::exchange(storeCalls, {})) {
        fields.emplace_back(call, std::to_string(count));
    }
    logEvent("store_calls", fields);
}

void gateway_daemon::impl::logLimitedEndpointLoads()
{
    for (const limited_endpoint_load &load : router.takeLimitedEndpointLoads()) {
        metrics.counter("sycamoretray_limited_endpoint_requests_total{attempt=\"first\"}").add(load.firstAttempts);
        metrics.counter("sycamoretray_limited_endpoint_requests_total{attempt=\"retry\"}").add(load.retries);
        logEvent("limited_endpoint_requests",
                 { { "endpoint", load.endpoint.value() },
                   { "per_second", std::to_string(load.limit.value()) },
                   { "first", std::to_string(load.firstAttempts) },
                   { "retries", std::to_string(load.retries) } });
    }
}

std::string gateway_daemon::impl::dump()
{
    return R"({"evacuated_zones":)" + feeds.dumpEvacuatedZones() + R"(,"gateway":)" + router.dump(steadyNow()) + R"(,"ownership":)" + ownership.dump() + "}";
}

// --- start and stop ---

void gateway_daemon::impl::startTimers()
{
    executor.repeat(maintenanceIntervalMilliseconds, [this] {
        runMaintenance();
        return !finished;
    });
    executor.repeat(relayWaitMilliseconds, [this] {
        feeds.startAll();
        return false;
    });
    executor.repeat(storeCallLogIntervalMilliseconds, [this] {
        logStoreCalls();
        return !finished;
    });
    executor.repeat(loadLogIntervalMilliseconds, [this] {
        logLimitedEndpointLoads();
        connectionLog.write();
        return !finished;
    });
    executor.repeat(loadReportIntervalMilliseconds, [this] {
        reportLoad();
        reportCrashes();
        return !finished;
    });
}

int gateway_daemon::impl::run()
{
    returnFreedMemory();
    const std::pair<const char *, std::error_code> servers[] = {
        { "caller_address", callerServer.start() },
        { "readiness_address", readinessServer.start() },
        { "internal_address", internalApi.start() },
        { "internal_address", datagrams.start() },
    };
    for (const auto &[name, error] : servers) {
        if (error) {
            logEvent(event_severity::error, "cannot_listen", { { "setting", name }, { "error", error.message() } });
            return 1;
        }
    }
    logEvent("instance_started", { { "instance", settings.instance.value() }, { "zone", settings.zone.value() }, { "store", settings.storeAddress.value() } });
    feeds.start();
    if (isRelayCandidate(settings.processorShare)) {
        feeds.startAll();
    }
    ownership.start();
    startTimers();
    try {
        context.run();
    } catch (const std::exception &error) {
        // What the interrupted handler left behind is not known, so that the process must not go on.
        logEvent(event_severity::error, "instance_failed", { { "instance", settings.instance.value() }, { "error", error.what() } });
        return 1;
    }
    logEvent("instance_stopped", { { "instance", settings.instance.value() } });
    return 0;
}

void gateway_daemon::impl::reload()
{
    try {
        const gateway_daemon_settings changed = readGatewaySettings(settingsFile);
        const bool same = printGatewaySettings(changed) == printGatewaySettings(settings);
        logEvent("settings_read", { { "file", settingsFile }, { "changed", same ? "false" : "true; takes effect at the next start" } });
    } catch (const std::exception &error) {
        logEvent(event_severity::error, "settings_invalid", { { "error", error.what() } });
    }
}

void gateway_daemon::impl::stop()
{
    if (std::exchange(stopping, true)) {
        return;
    }
    stopStarted = steadyNow();
    logEvent("instance_stopping", { { "unfinished", std::to_string(router.unfinished()) } });
    router.setStop({ stopStarted + settings.stopLimit - stopReserve, stopStarted + rotationRemovalTime });
    ownership.leave();
    permits.resign();
    relayedStore.setReader(settings.internalAddress, 0);
    executor.repeat(stopPollMilliseconds, [this] {
        return continueStop();
    });
}

bool gateway_daemon::impl::continueStop()
{
    const time_span passed = steadyNow() - stopStarted;
    if (passed >= keepAliveTime) {
        callerServer.closeAfterAnswer();
    }
    if (passed >= rotationRemovalTime) {
        callerServer.stopListening();
        // A request sent on a connection that is being closed was not read, so its caller can retry it at another instance.
        callerServer.closeIdle();
    }
    const bool idle = passed >= rotationRemovalTime + flushTime && router.unfinished() == 0 && callerServer.connections() == 0;
    if (idle || passed >= settings.stopLimit - stopReserve) {
        finish();
        return false;
    }
    return true;
}

void gateway_daemon::impl::finish()
{
    router.finishAll(steadyNow());
    finished = true;
    auto timer = std::make_shared<boost::asio::steady_timer>(executor.state().strand, flushTime);
    timer->async_wait([this, timer](const boost::system::error_code & /*error*/) {
        callerServer.stop();
        context.stop();
    });
}

gateway_daemon::gateway_daemon(gateway_daemon_settings settings, std::string settingsFile)
    : d(std::make_unique<impl>(std::move(settings), std::move(settingsFile)))
{
}

gateway_daemon::~gateway_daemon() = default;

int gateway_daemon::run()
{
    return d->run();
}

} // namespace sycamoretray
