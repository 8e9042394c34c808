#include "endpoint_emulator.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

constexpr time_span networkDelay = std::chrono::milliseconds(1);

} // namespace

endpoint_emulator::endpoint_emulator(std::size_t count, bool dividedByKey)
    : m_dividedByKey(dividedByKey)
    , m_queues(count)
    , m_running(count)
{
    for (std::size_t i = 0; i < count; ++i) {
        emulated_endpoint endpoint;
        endpoint.incarnation = { endpoint_id("e" + std::to_string(i)), 1, network_address("10.0.0." + std::to_string(i + 1) + ":80") };
        endpoints.push_back(endpoint);
    }
    route.name = "r";
    route.host = "h";
    route.pathPrefix = "/p/";
    route.targets = { { service_id("s"), 1 } };
    route.idempotent = true;
    route.timeout = std::chrono::seconds(1);
    route.latencyTarget = std::chrono::milliseconds(500);
    route.maxAttempts = 3;
    gateway_settings settings;
    settings.instance = instance_id("i");
    settings.zone = availability_zone("z");
    m_gateway = std::make_unique<gateway>(settings, *this, [](std::string_view, const auto &) {});
    // As the directory does.
    m_gateway->setLeavingHandler([this](const endpoint_incarnation &incarnation) {
        const listed_endpoint &listed = m_listed.at(incarnation.endpoint);
        if (!listed.entry.draining) {
            setDraining(static_cast<std::size_t>(std::find_if(endpoints.begin(),
                                                              endpoints.end(),
                                                              [&](const emulated_endpoint &each) {
                                                                  return each.incarnation == incarnation;
                                                              })
                                                 - endpoints.begin()));
        }
    });
    publish();
}

endpoint_emulator::~endpoint_emulator() = default;

void endpoint_emulator::publish()
{
    std::vector<request_route> routes;
    for (std::uint32_t priority = 0; priority < 3; ++priority) {
        request_route each = route;
        each.name += std::to_string(priority);
        each.pathPrefix = "/p" + std::to_string(priority) + "/";
        each.priority = priority;
        routes.push_back(each);
    }
    service_definition definition;
    definition.dividedByKey = m_dividedByKey;
    m_gateway->setRoutes(std::make_shared<const request_routes>(1, routes, std::map<service_id, service_definition>{ { service_id("s"), definition } }), m_now);
    for (const emulated_endpoint &endpoint : endpoints) {
        listed_endpoint &listed = m_listed[endpoint.incarnation.endpoint];
        listed.entry.incarnation = endpoint.incarnation;
        listed.entry.service = service_id("s");
        listed.entry.zone = availability_zone(endpoint.remote ? "other" : "z");
        listed.entry.workerSlots = endpoint.slots;
    }
    m_gateway->setEndpoints(m_listed, m_now);
    if (m_dividedByKey) {
        assignFrom(keyCount - 1, 0);
    }
}

void endpoint_emulator::assignFrom(std::uint32_t first, std::size_t owner, bool settled, time_span untilExpiry)
{
    ownership_record record;
    record.service = service_id("s");
    record.epoch = 1;
    record.revision = ++m_revision;
    record.instances = 1;
    record.assignments.push_back({ { 0, first - 1 }, endpoints[0].incarnation, fencing_token(1), {}, fencing_token(), true, {} });
    record.assignments.push_back({ { first, keyCount - 1 }, endpoints[owner].incarnation, fencing_token(2), {}, fencing_token(), settled, untilExpiry });
    ownership_view view;
    view.apply(record);
    m_gateway->setOwnership(view, m_now);
}

void endpoint_emulator::setDraining(std::size_t endpoint)
{
    listed_endpoint &listed = m_listed[endpoints[endpoint].incarnation.endpoint];
    listed.entry.draining = true;
    listed.stateSince = m_now;
    m_gateway->setEndpoints(m_listed, m_now);
}

void endpoint_emulator::setEvacuated(std::size_t endpoint, bool evacuated)
{
    m_listed[endpoints[endpoint].incarnation.endpoint].evacuatedSince = evacuated ? std::optional(m_now) : std::nullopt;
    repeatEndpoints();
}

void endpoint_emulator::repeatEndpoints()
{
    m_gateway->setEndpoints(m_listed, m_now);
}

std::size_t endpoint_emulator::submit(time_span work, std::uint16_t key, std::uint32_t priority, std::optional<time_span> timeLeft)
{
    const std::size_t index = m_answers.size();
    m_answers.push_back({});
    m_answers[index].arrived = m_now;
    m_runs.push_back(0);
    m_work.push_back(work);
    gateway_request request;
    request.id = request_id(std::to_string(index));
    request.host = "h";
    request.path = "/p" + std::to_string(priority) + "/x";
    request.key = key_number(key);
    request.timeLeft = timeLeft;
    m_ids.push_back(m_gateway->submit(
        std::move(request),
        [this, index](const gateway_answer &answer) {
            emulated_answer &result = m_answers[index];
            result.answered = true;
            result.finished = m_now;
            result.status = answer.response ? answer.response->status : 0;
            result.code = answer.code;
            result.retryAfter = answer.retryAfter;
        },
        m_now));
    return index;
}

void endpoint_emulator::cancel(std::size_t request)
{
    m_gateway->cancel(m_ids[request], m_now);
}

void endpoint_emulator::run(time_span duration)
{
    const monotonic_time end = m_now + duration;
    while (true) {
        const monotonic_time event = m_events.empty() ? monotonic_time::max() : m_events.begin()->first;
        const monotonic_time next = std::min(event, m_gateway->nextDue());
        if (next > end) {
            break;
        }
        m_now = std::max(m_now, next);
        if (event <= next) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        m_gateway->advance(m_now);
    }
    m_now = end;
}

void endpoint_emulator::schedule(monotonic_time when, std::function<void()> action)
{
    m_events.emplace(when, std::move(action));
}

void endpoint_emulator::send(endpoint_attempt_id attempt, const endpoint_entry &endpoint, const gateway_request &request, time_span timeLeft)
{
    const auto found = std::find_if(endpoints.begin(), endpoints.end(), [&](const emulated_endpoint &each) {
        return each.incarnation == endpoint.incarnation;
    });
    const auto index = static_cast<std::size_t>(found - endpoints.begin());
    m_sends.push_back(index);
    m_timesLeft.push_back(timeLeft);
    m_attempts[attempt] = { index, std::stoul(request.id.value()), false };
    schedule(m_now + networkDelay, [this, attempt] {
        arrive(attempt);
    });
}

void endpoint_emulator::abort(endpoint_attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const running_attempt aborted = found->second;
    m_attempts.erase(found);
    if (aborted.started) {
        --m_running[aborted.endpoint];
        startNext(aborted.endpoint);
    }
    std::erase(m_queues[aborted.endpoint], attempt);
}

endpoint_load endpoint_emulator::loadOf(std::size_t endpoint) const
{
    return { m_running[endpoint], static_cast<std::uint32_t>(m_queues[endpoint].size()), endpoints[endpoint].slots };
}

void endpoint_emulator::arrive(endpoint_attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const std::size_t index = found->second.endpoint;
    const emulated_endpoint &endpoint = endpoints[index];
    endpoint_reply refused;
    refused.kind = reply_kind::not_run;
    refused.code = result_code::refused_by_server;
    if (!endpoint.up) {
        refused.sent = false;
        refused.code = result_code::peer_unreachable;
        reply(attempt, refused);
    } else if (endpoint.misdirected) {
        refused.misdirected = true;
        refused.response.status = 421;
        reply(attempt, refused);
    } else if (endpoint.pause) {
        refused.pause = endpoint.pause;
        refused.response.status = 503;
        reply(attempt, refused);
    } else if (m_running[index] >= endpoint.slots && m_queues[index].size() >= endpoint.queue) {
        if (endpoint.onFull == full_behaviour::refuse) {
            refused.response.status = 503;
            reply(attempt, refused);
        } else if (endpoint.onFull == full_behaviour::reset) {
            refused.kind = reply_kind::failed;
            refused.code = result_code::server_connection_lost;
            reply(attempt, refused);
        }
    } else {
        m_queues[index].push_back(attempt);
        startNext(index);
    }
}

void endpoint_emulator::startNext(std::size_t index)
{
    while (m_running[index] < endpoints[index].slots && !m_queues[index].empty()) {
        const endpoint_attempt_id attempt = m_queues[index].front();
        m_queues[index].pop_front();
        running_attempt &running = m_attempts.at(attempt);
        running.started = true;
        ++m_running[index];
        ++m_runs[running.request];
        const auto work = std::chrono::duration_cast<time_span>(m_work[running.request] * endpoints[index].slowness);
        schedule(m_now + work, [this, attempt] {
            finishAttempt(attempt);
        });
    }
}

void endpoint_emulator::finishAttempt(endpoint_attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const std::size_t index = found->second.endpoint;
    --m_running[index];
    startNext(index);
    endpoint_reply answer;
    answer.kind = reply_kind::answered;
    const bool fails = std::uniform_real_distribution<double>(0, 1)(m_random) < endpoints[index].failing;
    answer.response.status = fails ? 500 : 200;
    answer.load = loadOf(index);
    reply(attempt, std::move(answer));
}

void endpoint_emulator::reply(endpoint_attempt_id attempt, endpoint_reply reply)
{
    reply.leaving = endpoints[m_attempts.at(attempt).endpoint].leaving;
    m_attempts.erase(attempt);
    schedule(m_now + networkDelay, [this, attempt, reply = std::move(reply)] {
        m_gateway->replied(attempt, reply, m_now);
    });
}

} // namespace sycamoretray
