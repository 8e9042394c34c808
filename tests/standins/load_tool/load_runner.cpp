#include "standins/load_tool/load_runner.h"

#include "routing/hash_slots.h"
#include "standins/common/answer_content.h"
#include "standins/common/standin_program.h"
#include "standins/load_tool/request_identifier.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>

namespace sycamoretray::standins
{

namespace
{

constexpr int resultCodeStopping = 114;
constexpr long long avoidanceDurationUs = 1000000;

// Codes for which a retry is useless: malformed requests and crash suspects.
bool isPermanent(int code)
{
    return (code >= 100 && code < 110) || code == 116;
}

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

int resultCodeOf(const http_response &response)
{
    const auto content = nlohmann::json::parse(response.body, nullptr, false);
    return content.is_object() && content.contains("code") && content["code"].is_number() ? content["code"].get<int>() : 0;
}

} // namespace

struct load_runner::instance_pool {
    std::vector<std::unique_ptr<http_connection>> connections;
    std::vector<std::size_t> idle;
    std::deque<std::size_t> waiting;
};

load_runner::load_runner(boost::asio::io_context &context, runner_settings settings, std::vector<planned_request> schedule)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_schedule(std::move(schedule))
    , m_histories(m_schedule.size())
    , m_ids(m_schedule.size())
    , m_avoidUntil(m_settings.instances.size())
    , m_random(m_settings.seed)
{
    for (const std::string &address : m_settings.instances) {
        auto pool = std::make_unique<instance_pool>();
        for (std::uint32_t i = 0; i < m_settings.connectionsPerInstance; ++i) {
            pool->connections.push_back(std::make_unique<http_connection>(context, address));
            pool->idle.push_back(i);
        }
        m_pools.push_back(std::move(pool));
    }
}

load_runner::~load_runner() = default;

void load_runner::start()
{
    m_startedAt = steadyMicroseconds();
    scheduleNext();
}

const std::vector<request_history> &load_runner::histories() const
{
    return m_histories;
}

void load_runner::scheduleNext()
{
    const long long now = steadyMicroseconds() - m_startedAt;
    while (m_nextIndex < m_schedule.size() && m_schedule[m_nextIndex].at <= now) {
        const std::size_t index = m_nextIndex++;
        m_histories[index].due = m_startedAt + m_schedule[index].at;
        if (m_schedule[index].nonIdempotent || m_settings.direct) {
            m_ids[index] = newRequestIdentifier(wallMilliseconds(), m_random);
        }
        attempt(index);
    }
    if (m_nextIndex == m_schedule.size()) {
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
    timer->expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(m_startedAt + m_schedule[m_nextIndex].at)));
    timer->async_wait([this, timer](const boost::system::error_code &) {
        scheduleNext();
    });
}

void load_runner::attempt(std::size_t index)
{
    const std::size_t instance = chooseInstance(index);
    instance_pool &pool = *m_pools[instance];
    request_attempt attempt;
    attempt.requestId = m_ids[index];
    attempt.instance = instance;
    attempt.begin = steadyMicroseconds();
    m_histories[index].attempts.push_back(std::move(attempt));
    if (pool.idle.empty()) {
        pool.waiting.push_back(index);
        return;
    }
    const std::size_t connection = pool.idle.back();
    pool.idle.pop_back();
    sendOn(index, instance, connection);
}

// A retry goes to another instance than the last attempt, if there is one that is not avoided.
std::size_t load_runner::chooseInstance(std::size_t index)
{
    const long long now = steadyMicroseconds();
    const auto &attempts = m_histories[index].attempts;
    std::vector<std::size_t> candidates;
    for (std::size_t instance = 0; instance < m_pools.size(); ++instance) {
        if (m_avoidUntil[instance] <= now && (attempts.empty() || attempts.back().instance != instance)) {
            candidates.push_back(instance);
        }
    }
    return candidates.empty() ? m_random() % m_pools.size() : candidates[m_random() % candidates.size()];
}

void load_runner::avoidUnavailableInstance(const request_attempt &attempt)
{
    if (attempt.code == resultCodeStopping || attempt.outcome == attempt_outcome::refused) {
        m_avoidUntil[attempt.instance] = attempt.end + avoidanceDurationUs;
    }
}

void load_runner::sendOn(std::size_t index, std::size_t instance, std::size_t connection)
{
    const auto timeout = std::chrono::milliseconds(std::min(m_settings.attemptTimeoutMs, m_settings.deadlineMs));
    m_pools[instance]->connections[connection]->send(
        makeRequest(index), timeout, [this, index, instance, connection](exchange_result result, const http_response &response) {
            handleResult(index, result, response);
            releaseConnection(instance, connection);
        });
}

void load_runner::releaseConnection(std::size_t instance, std::size_t connection)
{
    instance_pool &pool = *m_pools[instance];
    if (pool.waiting.empty()) {
        pool.idle.push_back(connection);
        return;
    }
    const std::size_t index = pool.waiting.front();
    pool.waiting.pop_front();
    sendOn(index, instance, connection);
}

http_request load_runner::makeRequest(std::size_t index) const
{
    const planned_request &planned = m_schedule[index];
    http_request message;
    message.method = planned.method;
    message.target = planned.target;
    message.body = planned.body;
    message.fields.emplace_back("Customer", planned.customer);
    if (planned.keyInHeader) {
        message.fields.emplace_back("Fleet-Key", planned.key);
    }
    if (planned.runUs >= 0) {
        message.fields.emplace_back("Test-Run-Us", std::to_string(planned.runUs));
    }
    if (m_settings.direct) {
        message.fields.emplace_back("Sycamoretray-Request-Id", m_ids[index]);
        message.fields.emplace_back("Sycamoretray-Key", planned.key);
        message.fields.emplace_back("Sycamoretray-Hash-Slot", std::to_string(slotOfKey(planned.key).value()));
        return message;
    }
    if (!m_ids[index].empty()) {
        message.fields.emplace_back("Idempotency-Key", m_ids[index]);
    }
    const long long left = m_settings.deadlineMs - (steadyMicroseconds() - m_histories[index].due) / 1000;
    message.fields.emplace_back("Sycamoretray-Deadline-Ms", std::to_string(std::max(1LL, left)));
    return message;
}

void load_runner::handleResult(std::size_t index, exchange_result result, const http_response &response)
{
    request_history &history = m_histories[index];
    request_attempt &attempt = history.attempts.back();
    attempt.end = steadyMicroseconds();
    if (result == exchange_result::complete) {
        classifyResponse(index, attempt, response);
    } else {
        attempt.outcome = result == exchange_result::refused ? attempt_outcome::refused : attempt_outcome::lost;
    }
    avoidUnavailableInstance(attempt);
    if (!mayRetry(index)) {
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(m_settings.retryPauseMs));
    timer->async_wait([this, timer, index](const boost::system::error_code &) {
        this->attempt(index);
    });
}

void load_runner::classifyResponse(std::size_t index, request_attempt &attempt, const http_response &response) const
{
    const std::string_view outcome = findField(response.fields, "Sycamoretray-Outcome");
    const std::string id(findField(response.fields, "Sycamoretray-Request-Id"));
    const planned_request &planned = m_schedule[index];
    const bool idMatches = m_ids[index].empty() ? !id.empty() : id == m_ids[index];
    if (outcome == "answered" || (m_settings.direct && response.status == 200)) {
        attempt.requestId = id;
        const bool answerMatches = idMatches && response.status == 200 && response.body == answerContent(id, planned.key, planned.target, planned.body);
        attempt.outcome = answerMatches ? attempt_outcome::answered : attempt_outcome::wrong_answer;
        return;
    }
    attempt.code = resultCodeOf(response);
    if (m_ids[index].empty()) {
        attempt.requestId = id;
    }
    attempt.outcome = outcome == "not-run" ? attempt_outcome::not_run : (outcome == "unknown" ? attempt_outcome::unknown : attempt_outcome::wrong_answer);
}

bool load_runner::mayRetry(std::size_t index) const
{
    const request_history &history = m_histories[index];
    const request_attempt &last = history.last();
    if (last.end - history.due >= m_settings.deadlineMs * 1000) {
        return false;
    }
    switch (last.outcome) {
    case attempt_outcome::answered:
    case attempt_outcome::wrong_answer:
        return false;
    case attempt_outcome::not_run:
        return !isPermanent(last.code);
    case attempt_outcome::unknown:
        return !m_schedule[index].nonIdempotent;
    case attempt_outcome::refused:
    case attempt_outcome::lost:
        return true;
    }
    return false;
}

} // namespace sycamoretray::standins
