#include "sycamoretrayd/entry_router.h"

#include "executor/steady_time.h"
#include "http_entry/error_answer.h"
#include "observability/event_log.h"
#include "sycamoretrayd/forward_codec.h"
#include "sycamoretrayd/payloads.h"
#include "sycamoretrayd/request_admission.h"
#include "sycamoretrayd/request_id_generator.h"

#include <algorithm>
#include <utility>

namespace sycamoretray
{

namespace
{

constexpr double retriesPerRequest = 0.1;
constexpr std::uint32_t deferredCheckMilliseconds = 5;
constexpr std::uint32_t sweepMilliseconds = 50;
/** After the loss of a server or an instance, its keys are served again within this time, so retrying longer does not help. */
constexpr time_span routingRetryLimit = std::chrono::seconds(2);
constexpr time_span initialRetryDelay = std::chrono::milliseconds(5);
constexpr time_span maxRetryDelay = std::chrono::milliseconds(80);
constexpr std::size_t maxDeferredRequests = 16384;
/** The home answers at the deadline. The entry waits this much longer before it answers in place of the home. */
constexpr time_span overdueAnswerMargin = std::chrono::milliseconds(50);
/** Peers send probes every 100 ms; the ownership protocol suspects an instance that sent nothing for this long. */
constexpr time_span unresponsiveHomeLimit = std::chrono::milliseconds(450);

bool isRetriableAfterRoutingChange(result_code code)
{
    return code == result_code::wrong_home || code == result_code::refused_by_server || code == result_code::no_owner;
}

} // namespace

entry_router::entry_router(serial_executor executor, entry_environment environment)
    : m_executor(std::move(executor))
    , m_environment(std::move(environment))
    , m_unkeyedChooser(std::hash<incarnation_id>{}(m_environment.self))
    , m_retryBudget(retriesPerRequest)
    , m_latency(&m_environment.metrics->distribution("sycamoretray_request_seconds"))
    , m_retries(&m_environment.metrics->counter("sycamoretray_entry_retries_total"))
    , m_lateAnswers(&m_environment.metrics->counter("sycamoretray_late_answers_total"))
{
    constexpr int endOfRequestCodes = 300;
    for (int number = 0; number < endOfRequestCodes; ++number) {
        const auto code = static_cast<result_code>(number);
        if (number == 0 || resultName(code) != resultName(result_code::ok)) {
            m_resultCounters[code] = nullptr;
        }
    }
    for (auto &[code, counter] : m_resultCounters) {
        counter = &m_environment.metrics->counter("sycamoretray_results_" + std::string(resultName(code)) + "_total");
    }
}

entry_router::~entry_router() = default;

void entry_router::start()
{
    m_executor.repeat(deferredCheckMilliseconds, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self) {
            self->retryDeferred(false);
        }
        return self != nullptr;
    });
    m_executor.repeat(sweepMilliseconds, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self) {
            self->sweep();
        }
        return self != nullptr;
    });
}

void entry_router::handle(http_request request, std::shared_ptr<answer_handle> handle)
{
    const wall_time wall = wallNow();
    const request_id generated = generateRequestId(wall);
    const auto refusal = static_cast<result_code>(m_refusalCode.load(std::memory_order_relaxed));
    if (refusal != result_code::ok) {
        countResult(refusal);
        handle->answer(errorAnswer(refusal, generated));
        return;
    }
    const monotonic_time now = steadyNow();
    admission_result admitted = admitRequest(std::move(request), *m_environment.routing->get(), generated, now, wall);
    if (admitted.code != result_code::ok) {
        countResult(admitted.code);
        handle->answer(errorAnswer(admitted.code, admitted.request.requestId));
        return;
    }
    auto entry = std::make_shared<entry_request>();
    entry->request = std::move(admitted.request);
    entry->service = std::move(admitted.service);
    entry->dividedByKey = admitted.dividedByKey;
    entry->handle = std::move(handle);
    entry->arrived = now;
    m_openRequests.fetch_add(1, std::memory_order_relaxed);
    {
        const std::lock_guard lock(m_retryBudgetMutex);
        m_retryBudget.earn();
    }
    entry->handle->onCallerDisconnected([weak = weak_from_this(), weakEntry = std::weak_ptr(entry)] {
        const auto self = weak.lock();
        const auto abandoned = weakEntry.lock();
        if (self && abandoned) {
            self->handleCallerGone(abandoned);
        }
    });
    route(entry);
}

void entry_router::route(const request_pointer &request)
{
    if (request->callerDisconnected.load()) {
        finish(request, result_code::deadline_expired);
        return;
    }
    if (steadyNow() >= request->request.deadline) {
        finish(request, result_code::deadline_expired);
        return;
    }
    const auto table = m_environment.routing->get();
    const routed_service *service = table->findService(request->service);
    if (service == nullptr) {
        finish(request, result_code::no_matching_service);
        return;
    }
    server_route route;
    const result_code code = chooseServer(*service, request, route);
    if (code == result_code::ok) {
        forward(request, route);
    } else if (isRetriableAfterRoutingChange(code)) {
        deferOrFinish(request, code);
    } else {
        finish(request, code);
    }
}

result_code entry_router::chooseServer(const routed_service &service, const request_pointer &request, server_route &route)
{
    const server_route *chosen = nullptr;
    if (service.service.dividedByKey) {
        chosen = routing_table::findOwner(service, request->request.key);
    } else {
        const unkeyed_server_chooser::choice choice = m_unkeyedChooser.choose(service, request->request);
        if (choice.code != result_code::ok) {
            return choice.code;
        }
        const auto found = std::find_if(service.servers.begin(), service.servers.end(), [&](const server_route &candidate) {
            return candidate.endpoint.server == choice.server;
        });
        if (found == service.servers.end() || found->home.value().empty()) {
            m_unkeyedChooser.finished(service.service.name, choice.server);
            return result_code::no_owner;
        }
        chosen = &*found;
    }
    if (chosen == nullptr || chosen->home.value().empty()) {
        return result_code::no_owner;
    }
    route.endpoint.server = chosen->endpoint.server;
    route.home = chosen->home;
    route.term = chosen->term;
    return result_code::ok;
}

void entry_router::forward(const request_pointer &request, const server_route &route)
{
    const std::uint64_t forwardId = m_lastForwardId.fetch_add(1, std::memory_order_relaxed) + 1;
    const server_id &server = route.endpoint.server;
    request->forwardId.store(forwardId);
    if (route.home == m_environment.self) {
        m_forwards.add({ request, route.home, server, forwardId });
        if (const auto home = m_environment.homes->find(server)) {
            home->submit({ m_environment.self, forwardId }, request->request);
        } else {
            forwardCompleted(forwardId, route.home, result_code::wrong_home, nullptr);
        }
    } else if (const auto address = m_environment.peers->addressOf(route.home)) {
        std::string message = encodeForward(forwardId, request->service, server, route.term, request->request, steadyNow());
        m_forwards.add({ request, route.home, server, forwardId });
        m_environment.send(route.home, *address, std::move(message));
    } else {
        m_forwards.add({ request, route.home, server, forwardId });
        forwardCompleted(forwardId, route.home, result_code::no_owner, nullptr);
        return;
    }
    if (request->callerDisconnected.load()) {
        handleCallerGone(request);
    }
}

void entry_router::forwardCompleted(std::uint64_t forwardId, const incarnation_id &home, result_code code, const std::shared_ptr<const answer_payload> &answer)
{
    const std::optional<pending_forward> forward = m_forwards.take(forwardId, home);
    if (!forward) {
        m_lateAnswers->add();
        return;
    }
    handleOutcome(*forward, code, answer);
}

void entry_router::handleOutcome(const pending_forward &forward, result_code code, const std::shared_ptr<const answer_payload> &answer)
{
    const request_pointer &request = forward.request;
    if (!request->dividedByKey) {
        m_unkeyedChooser.finished(request->service, forward.server);
    }
    if (outcomeClass(code) == request_outcome_class::unknown) {
        logEvent(event_severity::warning,
                 "outcome_unknown",
                 { { "code", std::string(resultName(code)) },
                   { "server", forward.server.value() },
                   { "home", forward.home.value() },
                   { "slot", std::to_string(request->request.slot.value()) },
                   { "request_id", request->request.requestId.value() } });
    }
    if (code == result_code::ok && answer) {
        finish(request, code, answer);
    } else if (isRetriableAfterRoutingChange(code)) {
        deferOrFinish(request, code);
    } else if (code == result_code::server_connection_lost || code == result_code::home_lost) {
        handleLostAttempt(request, code);
    } else {
        finish(request, code == result_code::ok ? result_code::answer_truncated : code);
    }
}

void entry_router::deferOrFinish(const request_pointer &request, result_code code)
{
    const monotonic_time now = steadyNow();
    if (request->firstFailedAt == monotonic_time::max()) {
        request->firstFailedAt = now;
    }
    const time_span wait = std::min(maxRetryDelay, initialRetryDelay * (1U << std::min(request->failedAttempts, 4U)));
    ++request->failedAttempts;
    if (now - request->firstFailedAt > routingRetryLimit || now + wait >= request->request.deadline) {
        finish(request, code);
        return;
    }
    {
        const std::lock_guard lock(m_deferredMutex);
        if (m_deferred.size() < maxDeferredRequests) {
            m_deferred.push_back({ request, now + wait, code });
            return;
        }
    }
    finish(request, code);
}

void entry_router::handleLostAttempt(const request_pointer &request, result_code code)
{
    request->mayHaveRun = true;
    bool retry = !request->request.nonIdempotent && !request->callerDisconnected.load();
    if (retry) {
        const std::lock_guard lock(m_retryBudgetMutex);
        retry = m_retryBudget.spend();
    }
    if (!retry) {
        finish(request, code);
        return;
    }
    m_retries->add();
    deferOrFinish(request, code);
}

void entry_router::peerDisconnected(const incarnation_id &peer)
{
    for (const pending_forward &forward : m_forwards.takeIf([&](const pending_forward &candidate) {
             return candidate.home == peer;
         })) {
        handleOutcome(forward, result_code::home_lost, nullptr);
    }
}

void entry_router::routingChanged()
{
    m_unkeyedChooser.update(*m_environment.routing->get(), wallNow());
    retryDeferred(true);
}

void entry_router::setAccepting(bool accept, result_code reason)
{
    m_refusalCode.store(static_cast<int>(accept ? result_code::ok : reason));
}

void entry_router::loadReported(const service_id &service, const server_id &server, std::uint32_t queued, std::uint32_t running)
{
    m_unkeyedChooser.applyLoadReport(service, server, queued, running);
}

std::size_t entry_router::openRequests() const
{
    return m_openRequests.load(std::memory_order_relaxed);
}

void entry_router::failOpenRequests()
{
    std::vector<deferred_request> deferred;
    {
        const std::lock_guard lock(m_deferredMutex);
        deferred = std::exchange(m_deferred, {});
    }
    for (const deferred_request &each : deferred) {
        finish(each.request, result_code::instance_stopping);
    }
    for (const pending_forward &forward : m_forwards.takeIf([](const pending_forward &) {
             return true;
         })) {
        cancelAtHome(forward);
        finish(forward.request, result_code::deadline_while_running);
    }
}

void entry_router::handleCallerGone(const request_pointer &request)
{
    request->callerDisconnected.store(true);
    const std::optional<pending_forward> forward = m_forwards.take(request->forwardId.load());
    if (forward) {
        cancelAtHome(*forward);
        if (!request->dividedByKey) {
            m_unkeyedChooser.finished(request->service, forward->server);
        }
        finish(request, result_code::deadline_while_running);
    }
}

void entry_router::cancelAtHome(const pending_forward &forward)
{
    if (forward.home == m_environment.self) {
        if (const auto home = m_environment.homes->find(forward.server)) {
            home->cancel(m_environment.self, forward.forwardId);
        }
    } else if (const auto address = m_environment.peers->addressOf(forward.home)) {
        m_environment.send(forward.home, *address, encodeCancel(forward.forwardId));
    }
}

void entry_router::finish(const request_pointer &request, result_code code, const std::shared_ptr<const answer_payload> &answer)
{
    if (request->mayHaveRun && outcomeClass(code) == request_outcome_class::not_run) {
        code = code == result_code::deadline_expired ? result_code::deadline_while_running : result_code::home_lost;
    }
    m_openRequests.fetch_sub(1, std::memory_order_relaxed);
    countResult(code);
    constexpr double microsecondsPerSecond = 1e6;
    m_latency->record(static_cast<double>((steadyNow() - request->arrived).count()) / microsecondsPerSecond);
    const std::shared_ptr<answer_handle> handle = std::move(request->handle);
    if (!answer) {
        handle->answer(errorAnswer(code, request->request.requestId));
        return;
    }
    http_response response = answer->response;
    response.fields.push_back({ "Sycamoretray-Request-Id", request->request.requestId.value() });
    response.fields.push_back({ "Sycamoretray-Outcome", "answered" });
    handle->answer(std::move(response));
}

void entry_router::countResult(result_code code)
{
    const auto found = m_resultCounters.find(code);
    if (found != m_resultCounters.end()) {
        found->second->add();
    }
}

void entry_router::retryDeferred(bool all)
{
    const monotonic_time now = steadyNow();
    std::vector<deferred_request> due;
    {
        const std::lock_guard lock(m_deferredMutex);
        const auto firstDue = std::partition(m_deferred.begin(), m_deferred.end(), [&](const deferred_request &deferred) {
            return !all && deferred.notBefore > now;
        });
        due.assign(std::make_move_iterator(firstDue), std::make_move_iterator(m_deferred.end()));
        m_deferred.erase(firstDue, m_deferred.end());
    }
    for (const deferred_request &deferred : due) {
        route(deferred.request);
    }
}

void entry_router::sweep()
{
    const monotonic_time now = steadyNow();
    for (const pending_forward &forward : m_forwards.takeIf([&](const pending_forward &candidate) {
             return candidate.request->request.deadline + overdueAnswerMargin <= now;
         })) {
        cancelAtHome(forward);
        handleOutcome(forward, result_code::deadline_while_running, nullptr);
    }
    failUnresponsiveHomes(now);
}

void entry_router::failUnresponsiveHomes(monotonic_time now)
{
    const std::vector<incarnation_id> unresponsive = m_environment.peers->unresponsiveFor(unresponsiveHomeLimit, now);
    if (unresponsive.empty()) {
        return;
    }
    const auto waitsForUnresponsiveHome = [&](const pending_forward &candidate) {
        return std::find(unresponsive.begin(), unresponsive.end(), candidate.home) != unresponsive.end();
    };
    for (const pending_forward &forward : m_forwards.takeIf(waitsForUnresponsiveHome)) {
        handleOutcome(forward, result_code::home_lost, nullptr);
    }
}

} // namespace sycamoretray
