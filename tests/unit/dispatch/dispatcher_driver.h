#pragma once

#include "dispatch/server_dispatcher.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamoretray
{

/** Feeds events to a server_dispatcher at a virtual time and records what it does. Thread safety: none. */
class dispatcher_driver
{
public:
    explicit dispatcher_driver(dispatcher_settings settings = {});

    /** A request that nothing refuses: idempotent, fresh id, deadline in 10 s. */
    dispatch_request request(const std::string &key = "k");
    /** The same as a non-idempotent request with an id of the caller that was created now. */
    dispatch_request booking(const std::string &id);

    void give(dispatch_event event);
    void advance(time_span by);
    /** Lets the server answer after @p runTime. */
    void answer(dispatch_id id, time_span runTime = std::chrono::milliseconds(10));
    /** Has the server answer enough requests for every worker slot and a few retries to be used. */
    void warm();

    std::optional<result_code> outcome(dispatch_id id) const;
    const std::shared_ptr<const answer_payload> &answerOf(dispatch_id id) const;
    /** Requests that were sent and not ended since. */
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
