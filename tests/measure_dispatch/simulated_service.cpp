#include "simulated_service.h"

#include <algorithm>
#include <stdexcept>

namespace sycamoretray
{

namespace
{

using namespace std::chrono_literals;

constexpr time_span crashDelay = 1ms;
constexpr time_span restartTime = 200ms;
constexpr time_span reportInterval = 100ms;
constexpr time_span reportDelay = 5ms;
constexpr time_span tickInterval = 20ms;
constexpr time_span cancelTime = 1ms;
const home_term onlyTerm(1);
/** The only class that entry instances treat as long; in the router they derive it from run times. */
constexpr std::uint32_t longClass = 1;

} // namespace

struct simulated_service::server {
    std::unique_ptr<dispatch_policy> policy;
    std::vector<std::size_t> running;
};

simulated_service::simulated_service(service_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    m_servers.resize(m_options.servers);
    m_loads.resize(m_options.servers);
    for (server &each : m_servers) {
        each.policy = m_options.dispatch();
    }
    for (std::size_t i = 0; m_options.choose && i < m_options.entries; ++i) {
        m_entries.push_back(m_options.choose(i));
    }
}

simulated_service::~simulated_service() = default;

void simulated_service::schedule(monotonic_time at, event_kind kind, std::size_t subject, std::uint32_t value)
{
    m_events.push({ at, ++m_order, kind, subject, value, {} });
}

std::vector<request_outcome> simulated_service::run(const std::vector<scripted_request> &script)
{
    m_script = &script;
    m_outcomes.resize(script.size());
    m_finished.resize(script.size());
    m_unfinished = script.size();
    m_end = script.empty() ? m_now : script.back().arrival;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        handleEvent(i, valid_until_changed{ onlyTerm, monotonic_time::max() });
    }
    for (std::size_t i = 0; i < script.size(); ++i) {
        schedule(script[i].arrival, event_kind::arrival, i);
    }
    schedule(m_now, event_kind::tick, 0);
    if (!m_entries.empty()) {
        schedule(m_now, event_kind::report, 0);
    }
    while (!m_events.empty() && m_unfinished > 0) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        process(next);
    }
    if (m_unfinished > 0) {
        throw std::logic_error("a request has no outcome");
    }
    return m_outcomes;
}

void simulated_service::process(const event &next)
{
    switch (next.kind) {
    case event_kind::arrival:
        arrive(next.subject);
        break;
    case event_kind::attempt_end:
        endAttempt(next.subject, next.value);
        break;
    case event_kind::crash:
        crash(next.subject, next.value);
        break;
    case event_kind::restarted:
        handleEvent(next.subject, valid_until_changed{ onlyTerm, monotonic_time::max() });
        break;
    case event_kind::report:
        reportLoads();
        break;
    case event_kind::reported:
        for (auto &entry : m_entries) {
            entry->applyLoadReport(next.subject, next.load);
        }
        break;
    case event_kind::tick:
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            handleEvent(i, dispatch_tick{});
        }
        schedule(m_now + tickInterval, event_kind::tick, 0);
        break;
    }
}

void simulated_service::arrive(std::size_t index)
{
    const scripted_request &scripted = (*m_script)[index];
    const std::size_t server = m_entries.empty() ? scripted.server : m_entries[index % m_entries.size()]->choose(scripted.requestClass == longClass);
    m_outcomes[index].server = server;
    ++unfinishedRequests(index);
    dispatch_request request;
    request.id = dispatch_id(index + 1);
    request.requestId = request_id("request");
    request.customer = customer_id("customer-" + std::to_string(scripted.customer));
    request.requestClass = scripted.requestClass;
    request.deadline = m_now + scripted.relativeDeadline;
    request.fingerprint = request_fingerprint(scripted.fingerprint);
    request.bytes = 500;
    handleEvent(server, std::move(request));
}

void simulated_service::handleEvent(std::size_t index, dispatch_event event)
{
    std::vector<dispatch_action> actions;
    const wall_time wallNow(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
    m_servers[index].policy->handle(std::move(event), m_now, wallNow, actions);
    for (const dispatch_action &each : actions) {
        if (const auto *sent = std::get_if<send_request>(&each)) {
            start(index, sent->id);
        } else if (const auto *finished = std::get_if<finish_request>(&each)) {
            finish(*finished);
        } else if (const auto *cancelled = std::get_if<cancel_request>(&each)) {
            schedule(m_now + cancelTime, event_kind::attempt_end, cancelled->id.value() - 1, m_outcomes[cancelled->id.value() - 1].sends);
        } else if (const auto *report = std::get_if<report_crash>(&each)) {
            for (std::size_t other = 0; other < m_servers.size(); ++other) {
                if (other != index) {
                    handleEvent(other, crashes_reported{ report->fingerprint, report->crashes, report->refusedFor });
                }
            }
        }
    }
}

void simulated_service::start(std::size_t index, dispatch_id id)
{
    const std::size_t position = id.value() - 1;
    const scripted_request &scripted = (*m_script)[position];
    server &target = m_servers[index];
    target.running.push_back(position);
    if (target.running.size() > m_options.slots) {
        throw std::logic_error("more requests than worker slots");
    }
    ++m_sends;
    const std::uint32_t attempt = ++m_outcomes[position].sends;
    if (scripted.crashesServer) {
        schedule(m_now + crashDelay, event_kind::crash, position, attempt);
    } else {
        schedule(m_now + scripted.runTime, event_kind::attempt_end, position, attempt);
    }
}

void simulated_service::endAttempt(std::size_t index, std::uint32_t attempt)
{
    const std::size_t position = m_outcomes[index].server;
    server &target = m_servers[position];
    const auto running = std::find(target.running.begin(), target.running.end(), index);
    if (attempt != m_outcomes[index].sends || running == target.running.end()) {
        return;
    }
    target.running.erase(running);
    const dispatch_id id(index + 1);
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.connectionLossProbability) {
        handleEvent(position, attempt_failed{ id, true, result_code::server_connection_lost });
    } else {
        handleEvent(position, server_answered{ id, nullptr, 500 });
    }
}

void simulated_service::crash(std::size_t index, std::uint32_t attempt)
{
    const std::size_t position = m_outcomes[index].server;
    server &target = m_servers[position];
    if (attempt != m_outcomes[index].sends || std::find(target.running.begin(), target.running.end(), index) == target.running.end()) {
        return;
    }
    ++m_crashes;
    handleEvent(position, valid_until_changed{ onlyTerm, m_now });
    schedule(m_now + restartTime, event_kind::restarted, position);
    for (const std::size_t lost : std::exchange(target.running, {})) {
        handleEvent(position, attempt_failed{ dispatch_id(lost + 1), true, result_code::server_connection_lost });
    }
}

void simulated_service::finish(const finish_request &finished)
{
    const std::size_t index = finished.id.value() - 1;
    if (m_finished[index]) {
        throw std::logic_error("a request has two outcomes");
    }
    m_finished[index] = true;
    --m_unfinished;
    m_outcomes[index].code = finished.code;
    m_outcomes[index].finished = m_now;
    --unfinishedRequests(index);
    if (!m_entries.empty()) {
        m_entries[index % m_entries.size()]->finished(m_outcomes[index].server, (*m_script)[index].requestClass == longClass);
    }
}

std::uint32_t &simulated_service::unfinishedRequests(std::size_t index)
{
    home_load &load = m_loads[m_outcomes[index].server];
    return (*m_script)[index].requestClass == longClass ? load.longRequests : load.shortRequests;
}

void simulated_service::reportLoads()
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const home_load load = m_options.alterReport ? m_options.alterReport(i, m_loads[i], m_now) : m_loads[i];
        m_events.push({ m_now + reportDelay, ++m_order, event_kind::reported, i, 0, load });
    }
    if (m_now < m_end) {
        schedule(m_now + reportInterval, event_kind::report, 0);
    }
}

} // namespace sycamoretray
