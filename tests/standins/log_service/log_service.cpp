#include "standins/log_service/log_service.h"

#include "standins/common/standin_program.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace sycamoretray::standins
{

using nlohmann::json;

log_service::log_service(boost::asio::io_context &context, log_service_settings settings)
    : m_context(context)
    , m_settings(settings)
    , m_appendTokens(settings.appendsPerSecond)
    , m_tokensUpdatedAt(steadyMicroseconds())
{
}

void log_service::handle(http_request request, respond_function respond)
{
    if (request.path() == "/control") {
        control(request, respond);
        return;
    }
    const bool isAppend = request.method == "POST";
    const long long latency = m_latencyMs + (isAppend ? m_appendLatencyMs : 0);
    auto action = [this, request = std::move(request), respond = std::move(respond)] {
        dispatch(request, respond);
    };
    if (isAppend && m_hold && !m_outage) {
        m_heldAppends.emplace_back(std::move(action));
    } else if (latency > 0) {
        runAfter(latency, std::move(action));
    } else {
        action();
    }
}

void log_service::dispatch(const http_request &request, const respond_function &respond)
{
    if (m_outage) {
        respond(jsonResponse(503, { { "error", "outage" } }));
        return;
    }
    const std::string path(request.path());
    const std::string prefix = "/streams/";
    const std::string suffix = "/records";
    if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix) || !path.ends_with(suffix)) {
        respond(jsonResponse(404, { { "error", "no such path" } }));
        return;
    }
    const std::string stream = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    if (request.method == "POST") {
        append(stream, request, respond);
    } else {
        read(stream, request, respond);
    }
}

void log_service::control(const http_request &request, const respond_function &respond)
{
    if (request.method == "POST") {
        const json change = json::parse(request.body, nullptr, false);
        if (!change.is_object()) {
            respond(jsonResponse(400, { { "error", "not a JSON object" } }));
            return;
        }
        m_outage = change.value("outage", m_outage);
        m_hold = change.value("hold", m_hold);
        m_latencyMs = change.value("latency_ms", m_latencyMs);
        m_appendLatencyMs = change.value("append_latency_ms", m_appendLatencyMs);
        m_loseReplies = change.value("lose_replies", m_loseReplies);
        LOG(INFO) << "event=control change=" << change.dump();
        if (!m_hold) {
            for (const auto &action : std::exchange(m_heldAppends, {})) {
                action();
            }
        }
    }
    respond(jsonResponse(200, counters()));
}

void log_service::append(const std::string &stream, const http_request &request, const respond_function &respond)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("records") || !body["records"].is_array() || body["records"].empty()) {
        respond(jsonResponse(400, { { "error", "records expected" } }));
        return;
    }
    if (!takeAppendToken()) {
        ++m_rateLimitedAppends;
        respond(jsonResponse(429, { { "error", "append rate limit" } }));
        return;
    }
    const long long now = steadyMicroseconds();
    auto records = body["records"].get<std::vector<std::string>>();
    for (const std::string &record : records) {
        m_appendedBytes += record.size();
    }
    ++m_appends;
    ++m_appendsBySecond[now / 1000000];
    log_stream &target = m_streams[stream];
    const std::uint64_t first = target.append(std::move(records), now);
    target.expire(m_settings.retentionMs == 0 ? 0 : now - m_settings.retentionMs * 1000, m_settings.retentionRecords);
    if (m_loseReplies > 0) {
        --m_loseReplies;
        respond(std::nullopt);
    } else {
        respond(jsonResponse(200, { { "first_offset", first } }));
    }
    retryWaitingReads(stream);
}

void log_service::read(const std::string &stream, const http_request &request, const respond_function &respond)
{
    ++m_reads;
    log_stream &source = m_streams[stream];
    if (m_settings.retentionMs != 0) {
        source.expire(steadyMicroseconds() - m_settings.retentionMs * 1000, 0);
    }
    const auto from = static_cast<std::uint64_t>(request.queryNumber("from", 1));
    const auto maximum = static_cast<std::size_t>(request.queryNumber("max", 1000));
    const long long waitMs = request.queryNumber("wait_ms", 0);
    if (from < source.next() || waitMs <= 0) {
        respond(readNow(source, from, maximum));
        return;
    }
    m_waitingReads[stream].push_back({ request, respond, steadyMicroseconds() + waitMs * 1000 });
    runAfter(waitMs, [this] {
        expireWaitingReads();
    });
}

http_response log_service::readNow(const log_stream &stream, std::uint64_t from, std::size_t maximum) const
{
    if (from < stream.earliest()) {
        return jsonResponse(410, { { "earliest_offset", stream.earliest() }, { "next_offset", stream.next() } });
    }
    json records = json::array();
    for (const log_stream::record &record : stream.read(from, maximum)) {
        records.push_back({ { "offset", record.offset }, { "data", record.data } });
    }
    return jsonResponse(200, { { "records", std::move(records) }, { "earliest_offset", stream.earliest() }, { "next_offset", stream.next() } });
}

bool log_service::takeAppendToken()
{
    const long long now = steadyMicroseconds();
    m_appendTokens = std::min(m_settings.appendsPerSecond, m_appendTokens + static_cast<double>(now - m_tokensUpdatedAt) * 1e-6 * m_settings.appendsPerSecond);
    m_tokensUpdatedAt = now;
    if (m_appendTokens < 1) {
        return false;
    }
    m_appendTokens -= 1;
    return true;
}

void log_service::retryWaitingReads(const std::string &stream)
{
    auto waiting = std::exchange(m_waitingReads[stream], {});
    for (const waiting_read &entry : waiting) {
        read(stream, entry.request, entry.respond);
    }
}

void log_service::expireWaitingReads()
{
    const long long now = steadyMicroseconds();
    for (auto &[stream, waiting] : m_waitingReads) {
        for (auto entry = waiting.begin(); entry != waiting.end();) {
            if (entry->until > now) {
                ++entry;
                continue;
            }
            const auto from = static_cast<std::uint64_t>(entry->request.queryNumber("from", 1));
            entry->respond(m_outage ? jsonResponse(503, { { "error", "outage" } }) : readNow(m_streams[stream], from, 1000));
            entry = waiting.erase(entry);
        }
    }
}

void log_service::runAfter(long long milliseconds, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(milliseconds));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &) {
        action();
    });
}

json log_service::counters() const
{
    std::uint64_t busiest = 0;
    for (const auto &[second, count] : m_appendsBySecond) {
        busiest = std::max(busiest, count);
    }
    json streams = json::object();
    for (const auto &[name, stream] : m_streams) {
        streams[name] = { { "earliest_offset", stream.earliest() }, { "next_offset", stream.next() } };
    }
    return { { "appends", m_appends },
             { "appended_bytes", m_appendedBytes },
             { "appends_in_busiest_second", busiest },
             { "limited", m_rateLimitedAppends },
             { "reads", m_reads },
             { "outage", m_outage },
             { "held", m_heldAppends.size() },
             { "streams", std::move(streams) } };
}

} // namespace sycamoretray::standins
