#include "standins/server/server.h"

#include "standins/common/answer_content.h"
#include "standins/common/standin_program.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <random>
#include <thread>
#include <unistd.h>

namespace sycamoretray::standins
{

using nlohmann::json;

namespace
{

constexpr std::size_t maxRequestStates = 100000;
constexpr std::size_t maxRecordedRuns = 400000;

std::string newBootId()
{
    std::random_device device;
    return "b" + std::to_string(device()) + std::to_string(getpid());
}

} // namespace

server::server(boost::asio::io_context &context, server_settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_lease(newBootId())
    , m_journal(m_settings.journalPath)
{
    m_journal.append({ { "event", "boot" }, { "server", m_settings.name }, { "boot", m_lease.bootId() }, { "at", steadyMicroseconds() } });
}

void server::handle(http_request request, respond_function respond)
{
    const std::string_view path = request.path();
    if (path == "/sycamoretray/v1/lease") {
        lease(request, respond);
    } else if (path == "/sycamoretray/v1/cancel") {
        cancel(request, respond);
    } else if (path == "/sycamoretray/v1/load") {
        respond(jsonResponse(200, m_loadReportOverride.is_null() ? loadReport() : m_loadReportOverride));
    } else if (path == "/control") {
        control(request, respond);
    } else if (path == "/control/runs") {
        respond(jsonResponse(200, { { "server", m_settings.name }, { "boot", m_lease.bootId() }, { "most_queued", m_mostQueued }, { "runs", m_runs } }));
    } else {
        accept(std::move(request), std::move(respond));
    }
}

void server::lease(const http_request &request, const respond_function &respond)
{
    try {
        const std::uint64_t termBefore = m_lease.term();
        lease_holder::reply reply = m_lease.handle(json::parse(request.body), steadyMicroseconds());
        recordLease(reply, termBefore != m_lease.term());
        if (reply.status == 200) {
            reply.content["running"] = m_running;
            reply.content["draining"] = m_draining;
        }
        respond(jsonResponse(reply.status, reply.content));
    } catch (const json::exception &failure) {
        LOG(WARNING) << "event=malformed_lease error=\"" << failure.what() << "\" body=" << request.body;
        respond(jsonResponse(400, { { "error", failure.what() } }));
    }
}

void server::recordLease(const lease_holder::reply &reply, bool termChanged)
{
    if (reply.ownershipChanged || termChanged) {
        m_journal.append({ { "event", "ownership" },
                           { "server", m_settings.name },
                           { "boot", m_lease.bootId() },
                           { "term", m_lease.term() },
                           { "at", steadyMicroseconds() },
                           { "ownership", m_lease.ownership().toJson() } });
    }
    if (reply.leaseExtended || reply.ownershipChanged || termChanged) {
        m_journal.append({ { "event", "lease" },
                           { "server", m_settings.name },
                           { "boot", m_lease.bootId() },
                           { "term", m_lease.term() },
                           { "at", steadyMicroseconds() },
                           { "until", m_lease.leaseUntil() } });
    }
}

void server::cancel(const http_request &request, const respond_function &respond)
{
    const json content = json::parse(request.body, nullptr, false);
    const std::string id = content.is_object() ? content.value("request_id", "") : "";
    const auto found = m_states.find(id);
    if (found == m_states.end()) {
        respond(jsonResponse(200, { { "state", "unknown" } }));
        return;
    }
    static constexpr const char *names[] = { "not_started", "running", "finished" };
    respond(jsonResponse(200, { { "state", names[static_cast<int>(found->second)] } }));
    for (const auto &pending : m_queue) {
        pending->cancelled = pending->cancelled || pending->id == id;
    }
    startNext();
}

void server::control(const http_request &request, const respond_function &respond)
{
    const json change = json::parse(request.body, nullptr, false);
    if (request.method == "POST" && change.is_object()) {
        LOG(INFO) << "event=control change=" << change.dump();
        if (change.contains("draining")) {
            m_draining = change["draining"].get<bool>();
            m_journal.append({ { "event", "draining" }, { "server", m_settings.name }, { "on", m_draining }, { "at", steadyMicroseconds() } });
        }
        m_shed = change.value("shed", m_shed);
        if (change.contains("load_report")) {
            m_loadReportOverride = change["load_report"];
        }
        if (change.contains("cold_ms")) {
            m_coldUntil = steadyMicroseconds() + change["cold_ms"].get<long long>() * 1000;
            m_coldFactor = change.value("cold_factor", 5.0);
        }
        if (change.contains("freeze_ms")) {
            freeze(change["freeze_ms"].get<long long>());
        }
    }
    json state = loadReport();
    state["runs"] = m_runs.size();
    state["term"] = m_lease.term();
    state["lease_left_us"] = std::max(0LL, m_lease.leaseUntil() - steadyMicroseconds());
    state["boot"] = m_lease.bootId();
    respond(jsonResponse(200, state));
}

// Blocks the only thread, so that no request runs and no connection is served, as after SIGSTOP.
void server::freeze(long long milliseconds)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(5));
    timer->async_wait([timer, milliseconds](const boost::system::error_code &) {
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    });
}

void server::accept(http_request request, respond_function respond)
{
    auto pending = std::make_shared<pending_request>();
    pending->id = findField(request.fields, "Sycamoretray-Request-Id");
    pending->key = findField(request.fields, "Sycamoretray-Key");
    pending->slot = static_cast<std::uint16_t>(numberField(request.fields, "Sycamoretray-Hash-Slot", 0));
    pending->term = static_cast<std::uint64_t>(numberField(request.fields, "Sycamoretray-Home-Term", 0));
    pending->deadline = steadyMicroseconds() + numberField(request.fields, "Sycamoretray-Deadline-Ms", 600000) * 1000;
    pending->request = std::move(request);
    pending->respond = std::move(respond);
    if (m_shed) {
        refuse(*pending, 503);
        return;
    }
    if (m_states.emplace(pending->id, run_state::not_started).second) {
        m_stateOrder.push_back(pending->id);
    } else {
        m_states[pending->id] = run_state::not_started;
    }
    if (m_stateOrder.size() > maxRequestStates) {
        m_states.erase(m_stateOrder.front());
        m_stateOrder.pop_front();
    }
    m_queue.push_back(std::move(pending));
    startNext();
    m_mostQueued = std::max(m_mostQueued, static_cast<std::uint32_t>(m_queue.size()));
}

void server::startNext()
{
    while (!m_queue.empty() && (m_running < m_settings.workerSlots || m_queue.front()->cancelled)) {
        const auto pending = m_queue.front();
        m_queue.pop_front();
        if (pending->cancelled) {
            refuse(*pending, 499);
        } else if (pending->deadline < steadyMicroseconds()) {
            refuse(*pending, 503);
        } else {
            start(pending);
        }
    }
}

void server::start(const std::shared_ptr<pending_request> &pending)
{
    const bool owned = mayRun(*pending);
    if (!owned && m_settings.checksTokens) {
        refuse(*pending, 421);
        return;
    }
    recordRun("start", *pending, owned);
    m_states[pending->id] = run_state::running;
    if (!findField(pending->request.fields, "Test-Crash").empty()) {
        recordRun("crash", *pending, owned);
        LOG(WARNING) << "event=crash request_id=" << pending->id;
        google::FlushLogFiles(google::GLOG_INFO);
        _exit(70);
    }
    ++m_running;
    const long long time = runTime(pending->request);
    if (time == 0) {
        commit(pending);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::microseconds(time));
    timer->async_wait([this, timer, pending](const boost::system::error_code &) {
        commit(pending);
        startNext();
    });
}

void server::commit(const std::shared_ptr<pending_request> &pending)
{
    --m_running;
    const bool owned = mayRun(*pending);
    if (!owned && m_settings.checksTokens) {
        recordRun("abandon", *pending, owned);
        refuse(*pending, 421);
        return;
    }
    recordRun("commit", *pending, owned);
    m_states[pending->id] = run_state::finished;
    const http_request &request = pending->request;
    pending->respond(http_response{ 200,
                                    { { "Sycamoretray-Request-Id", pending->id }, { "Content-Type", "text/plain" } },
                                    answerContent(pending->id, pending->key, request.target, request.body) });
}

void server::refuse(const pending_request &pending, unsigned status)
{
    m_states[pending.id] = run_state::not_started;
    pending.respond(http_response{ status, { { "Sycamoretray-Request-Id", pending.id }, { "Sycamoretray-Outcome", "not-run" } }, "" });
}

bool server::mayRun(const pending_request &pending) const
{
    return m_lease.mayRun(pending.term, pending.slot, pending.key, m_settings.dividedByKey, steadyMicroseconds());
}

void server::recordRun(const char *event, const pending_request &pending, bool owned)
{
    json entry = { { "event", event },       { "server", m_settings.name },  { "id", pending.id }, { "key", pending.key },    { "slot", pending.slot },
                   { "term", pending.term }, { "at", steadyMicroseconds() }, { "owned", owned },   { "draining", m_draining } };
    m_journal.append(entry);
    if (m_runs.size() < maxRecordedRuns) {
        m_runs.push_back(std::move(entry));
    }
}

long long server::runTime(const http_request &request) const
{
    long long time = m_settings.defaultRunTime;
    for (const auto &[text, duration] : m_settings.runTimes) {
        if (request.target.find(text) != std::string::npos) {
            time = duration;
            break;
        }
    }
    time = numberField(request.fields, "Test-Run-Us", time);
    return steadyMicroseconds() < m_coldUntil ? static_cast<long long>(static_cast<double>(time) * m_coldFactor) : time;
}

json server::loadReport() const
{
    return { { "running", m_running }, { "queued", m_queue.size() }, { "draining", m_draining } };
}

} // namespace sycamoretray::standins
