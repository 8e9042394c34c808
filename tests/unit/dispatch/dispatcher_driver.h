#pragma once

#include "dispatch/server_dispatcher.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamoretray
{

/** Passes events to a server_dispatcher in virtual time and records its actions. Thread safety: none. */
class dispatcher_driver
{
public:
    explicit dispatcher_driver(dispatcher_settings settings = {});

    /** Creates an idempotent request with a new id and a deadline in 10 s, which is admitted by default. */
    dispatch_request request(const std::string &key = "k");
    /** Creates a non-idempotent request whose id was supplied by the caller and created now. */
    dispatch_request nonIdempotentRequest(const std::string &id);

    void handle(dispatch_event event);
    void advance(time_span by);
    /** Advances the time by @p runTime and delivers an answer of the server. */
    void answer(dispatch_id id, time_span runTime = std::chrono::milliseconds(10));
    /** Answers enough requests to end the slow start and to fill the retry budget for a few retries. */
    void endSlowStart();

    std::optional<result_code> outcome(dispatch_id id) const;
    const std::shared_ptr<const answer_payload> &answerOf(dispatch_id id) const;
    /** Requests that are in flight at the server. */
    const std::vector<dispatch_id> &running() const noexcept;
    std::uint32_t timesSent(dispatch_id id) const;

    template<class Action>
    std::vector<Action> actionsOf() const
    {
        std::vector<Action> result;
        for (const dispatch_action &each : m_log) {
            if (const auto *action = std::get_if<Action>(&each)) {
                result.push_back(*action);
            }
        }
        return result;
    }

    server_dispatcher dispatcher;
    monotonic_time now{ std::chrono::seconds(100) };
    wall_time wallNow{ std::chrono::seconds(2'000'000) };

private:
    std::uint64_t m_lastId = 0;
    std::vector<dispatch_action> m_log;
    std::vector<dispatch_id> m_running;
    std::map<dispatch_id, finish_request> m_finished;
    std::map<dispatch_id, std::uint32_t> m_sent;
};

} // namespace sycamoretray
