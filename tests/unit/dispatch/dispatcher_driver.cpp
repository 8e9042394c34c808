#include "dispatcher_driver.h"

#include "routing/hash_slots.h"

#include <algorithm>
#include <stdexcept>

namespace sycamoretray
{

struct answer_payload {
    std::uint64_t number = 0;
};

namespace
{

dispatch_id endedBy(const dispatch_event &event)
{
    if (const auto *answered = std::get_if<server_answered>(&event)) {
        return answered->id;
    }
    if (const auto *refused = std::get_if<server_refused>(&event)) {
        return refused->id;
    }
    const auto *failed = std::get_if<attempt_failed>(&event);
    return failed == nullptr ? dispatch_id() : failed->id;
}

} // namespace

dispatcher_driver::dispatcher_driver(dispatcher_settings settings)
    : dispatcher(settings, wall_time(std::chrono::seconds(1'999'000)))
{
    handle(valid_until_changed{ home_term(7), now + std::chrono::hours(10) });
}

dispatch_request dispatcher_driver::request(const std::string &key)
{
    dispatch_request result;
    result.id = dispatch_id(++m_lastId);
    result.requestId = request_id("request-" + std::to_string(m_lastId));
    result.key = key;
    result.slot = slotOfKey(key);
    result.customer = customer_id("c");
    result.created = wallNow;
    result.deadline = now + std::chrono::seconds(10);
    result.fingerprint = request_fingerprint(m_lastId);
    result.bytes = 100;
    return result;
}

dispatch_request dispatcher_driver::nonIdempotentRequest(const std::string &id)
{
    dispatch_request result = request();
    result.requestId = request_id(id);
    result.callerSuppliedId = result.nonIdempotent = true;
    return result;
}

void dispatcher_driver::handle(dispatch_event event)
{
    std::vector<dispatch_action> actions;
    std::erase(m_running, endedBy(event));
    dispatcher.handle(std::move(event), now, wallNow, actions);
    for (const dispatch_action &each : actions) {
        if (const auto *sent = std::get_if<send_request>(&each)) {
            m_running.push_back(sent->id);
            ++m_sent[sent->id];
        } else if (const auto *finished = std::get_if<finish_request>(&each)) {
            if (!m_finished.emplace(finished->id, *finished).second) {
                throw std::logic_error("request finished twice");
            }
        }
        m_log.push_back(each);
    }
}

void dispatcher_driver::advance(time_span by)
{
    now += by;
    wallNow += std::chrono::duration_cast<std::chrono::milliseconds>(by);
    handle(dispatch_tick{});
}

void dispatcher_driver::answer(dispatch_id id, time_span runTime)
{
    advance(runTime);
    auto payload = std::make_shared<answer_payload>();
    payload->number = id.value();
    handle(server_answered{ id, payload, 10 });
}

void dispatcher_driver::endSlowStart()
{
    for (int i = 0; i < 40; ++i) {
        const dispatch_request each = request();
        handle(each);
        answer(each.id);
    }
    m_log.clear();
}

std::optional<result_code> dispatcher_driver::outcome(dispatch_id id) const
{
    const auto found = m_finished.find(id);
    return found == m_finished.end() ? std::nullopt : std::optional(found->second.code);
}

const std::shared_ptr<const answer_payload> &dispatcher_driver::answerOf(dispatch_id id) const
{
    return m_finished.at(id).answer;
}

const std::vector<dispatch_id> &dispatcher_driver::running() const noexcept
{
    return m_running;
}

std::uint32_t dispatcher_driver::timesSent(dispatch_id id) const
{
    const auto found = m_sent.find(id);
    return found == m_sent.end() ? 0 : found->second;
}

} // namespace sycamoretray
