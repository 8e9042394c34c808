#pragma once

#include "arrival_script.h"
#include "dispatch_policy.h"
#include "endpoint_policy.h"

#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace sycamoretray
{

struct request_outcome {
    result_code code = result_code::ok;
    monotonic_time finished;
    std::size_t server = 0;
    /** Number of attempts. */
    std::uint32_t sends = 0;
};

struct service_options {
    std::size_t servers = 1;
    /** Number of entry instances. */
    std::size_t entries = 1;
    /** Worker slots of each server. */
    std::uint32_t slots = 3;
    std::function<std::unique_ptr<dispatch_policy>()> dispatch;
    /** Creates the policy of an entry instance. Empty for a service divided by key, whose requests specify their server. */
    std::function<std::unique_ptr<endpoint_policy>(std::size_t)> choose;
    /** Probability, 0 to 1, that the connection is lost when an attempt ends. */
    double connectionLossProbability = 0;
    /** Modifies a load report on its way, to simulate wrong reports. */
    std::function<home_load(std::size_t server, const home_load &load, monotonic_time now)> alterReport;
    std::uint64_t seed = 1;
};

/**
 * Discrete-event simulation of a service: entry instances, and servers with worker slots and one dispatch policy each.
 *
 * A request that crashes its server does so 1 ms after its start; all running requests are lost, and the server restarts
 * within 200 ms. Load reports are sent every 100 ms and arrive after 5 ms. If a request does not finish exactly once,
 * std::logic_error is thrown. Thread safety: none.
 */
class simulated_service
{
public:
    explicit simulated_service(service_options options);
    ~simulated_service();

    /** Simulates @p script until all requests are finished and returns their outcomes, by index. To be called only once. */
    std::vector<request_outcome> run(const std::vector<scripted_request> &script);

    /** Number of attempts of all requests. */
    std::uint64_t sends() const noexcept
    {
        return m_sends;
    }
    std::uint32_t crashes() const noexcept
    {
        return m_crashes;
    }

private:
    enum class event_kind {
        arrival,
        attempt_end,
        crash,
        restarted,
        report,
        reported,
        tick,
    };
    struct event {
        monotonic_time at;
        std::uint64_t order = 0;
        event_kind kind = event_kind::tick;
        std::size_t subject = 0;
        std::uint32_t value = 0;
        home_load load{};
        bool operator>(const event &other) const noexcept
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct server;

    void schedule(monotonic_time at, event_kind kind, std::size_t subject, std::uint32_t value = 0);
    void process(const event &next);
    void arrive(std::size_t index);
    void endAttempt(std::size_t index, std::uint32_t attempt);
    void crash(std::size_t index, std::uint32_t attempt);
    void handleEvent(std::size_t server, dispatch_event event);
    void start(std::size_t server, dispatch_id id);
    void finish(const finish_request &finished);
    void reportLoads();
    std::uint32_t &unfinishedRequests(std::size_t index);

    service_options m_options;
    const std::vector<scripted_request> *m_script = nullptr;
    std::vector<request_outcome> m_outcomes;
    std::vector<bool> m_finished;
    /** Unfinished requests of each server. */
    std::vector<home_load> m_loads;
    std::vector<server> m_servers;
    std::vector<std::unique_ptr<endpoint_policy>> m_entries;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::mt19937_64 m_random;
    monotonic_time m_now{};
    monotonic_time m_end{};
    std::uint64_t m_order = 0;
    std::uint64_t m_sends = 0;
    std::uint32_t m_crashes = 0;
    std::size_t m_unfinished = 0;
};

} // namespace sycamoretray
