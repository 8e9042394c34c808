#pragma once

#include "gateway/gateway.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sycamoretray
{

/** What an emulated endpoint does when its queue is full. */
enum class full_behaviour {
    refuse,
    hang,
    reset,
};

struct emulated_endpoint {
    endpoint_incarnation incarnation;
    std::uint32_t slots = 2;
    std::uint32_t queue = 8;
    /** Factor by which the run time of requests is multiplied. */
    double slowness = 1;
    /** The endpoint is in another zone than the gateway. */
    bool remote = false;
    full_behaviour onFull = full_behaviour::refuse;
    bool up = true;
    /** Share of the requests that end with status 500. */
    double failing = 0;
    /** Answers 421, like an endpoint that does not hold the key. */
    bool misdirected = false;
    /** Says in all answers that it leaves. */
    bool leaving = false;
    /** Refuses all requests and names this pause. */
    std::optional<time_span> pause;
};

struct emulated_answer {
    bool answered = false;
    std::uint32_t status = 0;
    result_code code = result_code::ok;
    std::optional<time_span> retryAfter;
    monotonic_time arrived{};
    monotonic_time finished{};
};

/**
 * Simulates a gateway and the endpoints of one service in virtual time. Each endpoint has worker slots, a bounded FIFO queue, a
 * speed, and a behaviour for a full queue.
 */
class endpoint_emulator : public endpoint_port
{
public:
    /** @param dividedByKey  the service "s" is divided by key; otherwise any endpoint takes any request */
    endpoint_emulator(std::size_t endpoints, bool dividedByKey);
    ~endpoint_emulator() override;

    // publish() passes changes of the route, of zones and of worker slots to the gateway; all else takes effect at once.
    std::vector<emulated_endpoint> endpoints;
    request_route route;
    void publish();
    /** Assigns all keys from @p first on to endpoint @p owner; the others stay with endpoint 0. */
    void assignFrom(std::uint32_t first, std::size_t owner, bool settled = true, time_span untilExpiry = {});
    void setDraining(std::size_t endpoint);
    /** Evacuates the endpoint's zone, as far as this endpoint is concerned, or takes it back. */
    void setEvacuated(std::size_t endpoint, bool evacuated);
    /** Passes the known endpoints to the gateway again, as the daemon does while some are leaving. */
    void repeatEndpoints();

    /** Submits a request to the gateway now. @param work  run time at an endpoint with slowness 1 */
    std::size_t submit(time_span work, std::uint16_t key = 0, std::uint32_t priority = 0, std::optional<time_span> timeLeft = std::nullopt);
    void cancel(std::size_t request);

    void run(time_span duration);

    gateway &router()
    {
        return *m_gateway;
    }
    monotonic_time now() const noexcept
    {
        return m_now;
    }
    const std::vector<emulated_answer> &answers() const noexcept
    {
        return m_answers;
    }
    /** How often each request started to run. */
    const std::vector<std::uint32_t> &runs() const noexcept
    {
        return m_runs;
    }
    /** Endpoints to which requests were sent, in order. */
    const std::vector<std::size_t> &sends() const noexcept
    {
        return m_sends;
    }

    /** Time that was passed to the endpoint with each request that was sent, in order. */
    const std::vector<time_span> &timesLeft() const noexcept
    {
        return m_timesLeft;
    }

    void send(endpoint_attempt_id attempt, const endpoint_entry &endpoint, const gateway_request &request, time_span timeLeft) override;
    void abort(endpoint_attempt_id attempt) override;

private:
    struct running_attempt {
        std::size_t endpoint = 0;
        std::size_t request = 0;
        bool started = false;
    };

    void schedule(monotonic_time when, std::function<void()> action);
    void arrive(endpoint_attempt_id attempt);
    void startNext(std::size_t endpoint);
    void finishAttempt(endpoint_attempt_id attempt);
    void reply(endpoint_attempt_id attempt, endpoint_reply reply);
    endpoint_load loadOf(std::size_t endpoint) const;

    bool m_dividedByKey;
    monotonic_time m_now{ std::chrono::seconds(10) };
    std::multimap<monotonic_time, std::function<void()>> m_events;
    std::unique_ptr<gateway> m_gateway;
    std::map<endpoint_attempt_id, running_attempt> m_attempts;
    std::vector<std::deque<endpoint_attempt_id>> m_queues;
    std::vector<std::uint32_t> m_running;
    std::vector<emulated_answer> m_answers;
    std::vector<std::uint32_t> m_runs;
    std::vector<time_span> m_work;
    std::vector<gateway_request_id> m_ids;
    std::vector<std::size_t> m_sends;
    std::vector<time_span> m_timesLeft;
    std::map<endpoint_id, listed_endpoint> m_listed;
    std::uint64_t m_revision = 0;
    std::mt19937_64 m_random{ 5 };
};

} // namespace sycamoretray
