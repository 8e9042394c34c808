#pragma once

#include "gateway/gateway.h"
#include "permits/permit_client.h"
#include "permits/permit_coordinator.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sycamoretray
{

/** Whether instances need a permit to send a request. */
enum class sending_policy {
    /** Each instance sends without a permit. */
    direct,
    permits,
};

/** Time limits and priority of one kind of request. */
struct simulated_kind {
    std::uint32_t priority = 0;
    time_span latencyTarget{};
    time_span timeout{};
};

/** A request as a caller sends it. */
struct simulated_call {
    std::uint16_t key = 0;
    /** Index of the kind. */
    std::uint32_t kind = 0;
    time_span work{};
    /** The same in all tries of a caller's request. */
    std::string body;
    std::optional<time_span> timeLeft;
};

struct simulation_settings {
    std::size_t instances = 60;
    std::size_t endpoints = 60;
    std::size_t zones = 3;
    sending_policy policy = sending_policy::permits;
    bool dividedByKey = true;
    std::uint32_t slots = 2;
    std::uint32_t queue = 8;
    time_span work = std::chrono::milliseconds(260);
    /** Parameters of the lognormal distribution of the work of requests, as a multiple of #work. */
    double workLogMean = -0.1;
    double workLogDeviation = 0.45;
    /** Share of the intervals of 0.4 s in which an endpoint is three times slower, which it then reports; it reports no speed if 0. */
    double slowIntervalShare = 0;
    time_span latencyTarget = std::chrono::milliseconds(800);
    time_span timeout = std::chrono::milliseconds(1500);
    /** Kinds of requests; if empty, one for each of the priorities 0 to 2 with the latency target and timeout above. */
    std::vector<simulated_kind> kinds;
    /** Share of the messages between instances that are lost. */
    double lostMessageShare = 0;
    /** Zone whose instances receive all requests; any zone if not set. */
    std::optional<std::size_t> callerZone;
    std::uint64_t seed = 1;
};

struct simulation_result {
    std::size_t submitted = 0;
    std::size_t withinLatencyTarget = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    /** Requests that ended without an answer of an endpoint, and may have run. */
    std::size_t unknown = 0;
    time_span longestTimeToRefusal{};
    /** Requests that reached an endpoint whose queue was full. */
    std::size_t overflowed = 0;
    /** Requests that ran at least once, and those that ran more than once. */
    std::size_t ran = 0;
    std::size_t ranTwice = 0;
    /** Mean time to the answer, of the requests that were answered by an endpoint. */
    time_span meanTime{};
};

/**
 * Simulates instances with their gateways, and the endpoints of one service, in virtual time.
 *
 * An endpoint whose queue is full never answers. Messages between instances are encoded and decoded, and may be lost.
 */
class permit_simulation
{
public:
    explicit permit_simulation(simulation_settings settings);
    ~permit_simulation();

    /** Draws the key of each request; uniformly distributed by default. */
    std::function<std::uint16_t(std::mt19937_64 &)> drawKey;
    /** Requests per second of all instances together, as a function of the time since the start. */
    std::function<double(time_span)> perSecond;
    /** Priority of the next request, or the index of its kind. */
    std::function<std::uint32_t(std::mt19937_64 &)> drawPriority;
    /** Called with each request that is sent, if set. */
    std::function<void(const simulated_call &)> onSubmit;
    /** Called with each answer, if set. */
    std::function<void(const simulated_call &, const gateway_answer &)> onAnswer;

    /** Sends a request to a random instance after @p delay. */
    void submitLater(time_span delay, const simulated_call &call);

    void setSlowness(std::size_t endpoint, double slowness);
    /** Sets the share of the requests that the endpoint refuses although it has free worker slots. */
    void setRefusalShare(std::size_t endpoint, double share);
    /** Sets whether the endpoint resets the connection of each request. */
    void setResetting(std::size_t endpoint, bool resetting);
    /** Returns the number of requests that reached the endpoint. */
    std::size_t arrivedAt(std::size_t endpoint) const;
    /** The endpoint names this request limit in its responses from now on, or none. It runs what it gets all the same. */
    void setRequestLimit(std::size_t endpoint, std::optional<request_rate> limit);
    /**
     * Returns the highest number of requests that reached @p endpoint in some 4 s beyond the 6 times its limit and 5 requests that are
     * allowed, from 3 s after it first named the limit. Requests of instances that learned of the limit less than 0.5 s earlier do not count.
     */
    double excessOverRequestLimit(std::size_t endpoint) const;
    /** Sets the rate that the service states for cold endpoints, which all instances learn at once. */
    void setColdRate(std::optional<request_rate> rate);
    /** The endpoint becomes cold for @p duration, which all instances learn at once. It runs what it gets all the same, as fast as before. */
    void setCold(std::size_t endpoint, time_span duration);
    /**
     * Returns the highest number of requests that reached @p endpoint in a second, of those that ended while it was cold, beyond one and a half
     * times @p rate and 8. Where more had reached it in the second before it became cold, their number is allowed instead.
     */
    double excessOverColdRate(std::size_t endpoint, request_rate rate) const;
    /** Returns the number of requests that reached the endpoint while it was cold. */
    std::size_t arrivalsWhileCold(std::size_t endpoint) const;
    /** Half of the instances believe from now on that @p instance has left, and ask other coordinators. */
    void hideFromHalf(std::size_t instance);
    std::size_t ownerOf(std::uint16_t key) const;

    /** Crashes the instance: its callers are lost, and it no longer responds. */
    void crash(std::size_t instance);
    /** Starts the instance again after crash(), with no memory of before. */
    void restart(std::size_t instance);
    /** Starts a planned stop: the waiting requests of the instance are handed over. */
    void resign(std::size_t instance);
    /** Returns the index of the instance that is the permit coordinator of an endpoint, or of its zone if the service is not divided by key. */
    std::size_t coordinatorOf(std::size_t endpoint) const;

    /** Evacuates a zone, or takes it back. Instances learn of it one after another, within @p spread. */
    void setEvacuated(std::size_t zone, bool evacuated, time_span spread);
    /** Number of requests that arrived at endpoints of @p zone since @p since. */
    std::size_t arrivalsInZone(std::size_t zone, monotonic_time since) const;

    /** Runs the simulation for @p duration, with requests arriving. */
    void runArrivals(time_span duration);
    /** Runs the simulation without new requests until all have ended. */
    void runToEnd();

    /** Returns the result of the requests that @p accept selects by key and priority; of all requests by default. */
    simulation_result result(const std::function<bool(std::uint16_t key, std::uint32_t priority)> &accept = nullptr) const;

    monotonic_time now() const noexcept
    {
        return m_now;
    }

private:
    struct simulated_endpoint;
    struct simulated_instance;
    struct simulated_request {
        std::uint16_t key = 0;
        std::uint32_t priority = 0;
        std::size_t instance = 0;
        time_span work{};
        monotonic_time arrived{};
        monotonic_time finished{};
        bool answered = false;
        bool lost = false;
        std::uint32_t status = 0;
        result_code code = result_code::ok;
        std::uint32_t runs = 0;
    };

    void schedule(monotonic_time when, std::function<void()> action);
    void run(monotonic_time end);
    void scheduleAdvance(std::size_t instance);
    void submit(const simulated_call &call);
    simulated_call drawCall();
    void publish(simulated_instance &instance);
    void publishToAll();
    std::map<endpoint_id, listed_endpoint> listedEndpoints() const;
    void requestArrived(std::size_t request, std::size_t instance, endpoint_attempt_id attempt, std::size_t endpoint);
    void startNext(std::size_t endpoint);
    bool isInSlowInterval(std::size_t endpoint, monotonic_time when) const;
    /** Returns when @p work that starts now ends at the endpoint. */
    monotonic_time endOfWork(std::size_t endpoint, time_span work) const;
    endpoint_load loadOf(std::size_t endpoint) const;
    void finish(std::size_t endpoint, std::uint64_t run);
    void reply(std::size_t instance, endpoint_attempt_id attempt, std::size_t endpoint, const endpoint_reply &reply);
    void abort(std::size_t instance, endpoint_attempt_id attempt);
    /** Drops the attempts at an endpoint that meet the condition. */
    template<class Condition>
    void removeAttempts(std::size_t endpoint, Condition condition);

    simulation_settings m_settings;
    monotonic_time m_now{ std::chrono::seconds(10) };
    monotonic_time m_start = m_now;
    std::multimap<monotonic_time, std::function<void()>> m_events;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<simulated_endpoint>> m_endpoints;
    std::vector<std::unique_ptr<simulated_instance>> m_instances;
    /** Instances that were replaced; events may still refer to them. */
    std::vector<std::unique_ptr<simulated_instance>> m_ended;
    std::map<network_address, std::size_t> m_addresses;
    std::vector<simulated_request> m_requests;
    std::map<availability_zone, monotonic_time> m_evacuated;
    coordinator_candidates m_candidates;
    std::optional<request_rate> m_coldRate;
    std::size_t m_overflowed = 0;
    std::uint64_t m_lastRun = 0;
};

} // namespace sycamoretray
