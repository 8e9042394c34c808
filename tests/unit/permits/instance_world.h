#pragma once

#include "gateway/gateway.h"
#include "permits/permit_client.h"
#include "permits/permit_keeper.h"

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

/** Who decides when a request is sent. */
enum class sending_policy {
    /** Each instance sends without asking. */
    direct,
    permits,
};

struct world_settings {
    std::size_t instances = 60;
    std::size_t endpoints = 60;
    std::size_t zones = 3;
    sending_policy policy = sending_policy::permits;
    bool dividedByKey = true;
    std::uint32_t slots = 2;
    std::uint32_t queue = 8;
    time_span work = std::chrono::milliseconds(260);
    time_span latencyTarget = std::chrono::milliseconds(800);
    time_span timeout = std::chrono::milliseconds(1500);
    /** Share of the messages between instances that are lost. */
    double lostMessages = 0;
    /** Zone whose instances take all requests. */
    std::optional<std::size_t> callersInZone;
    std::uint64_t seed = 1;
};

struct world_result {
    std::size_t asked = 0;
    std::size_t inTarget = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    /** Ended without an answer of an endpoint although they may have run. */
    std::size_t unknown = 0;
    time_span longestHeldRefusal{};
    /** Requests that met an endpoint whose queue was full. */
    std::size_t overfilled = 0;
    /** Requests that began to run, and those of them that ran more than once. */
    std::size_t ran = 0;
    std::size_t ranTwice = 0;
    /** Time to the answer of those that were answered by an endpoint. */
    time_span meanTime{};
};

/**
 * Instances with their gateways, and the endpoints of one service, in virtual time. Endpoints that are full never answer. Messages
 * between instances pass the codec, and may be lost.
 */
class instance_world
{
public:
    explicit instance_world(world_settings settings);
    ~instance_world();

    /** Draws a key for each request; all keys alike unless it is replaced. */
    std::function<std::uint16_t(std::mt19937_64 &)> drawKey;
    /** Requests of one second, all instances together, as a function of the time since the start. */
    std::function<double(time_span)> perSecond;
    /** Priority of the next request. */
    std::function<std::uint32_t(std::mt19937_64 &)> drawPriority;

    void setSlowness(std::size_t endpoint, double slowness);
    /** Share of the requests that the endpoint refuses although it has room. */
    void setShedding(std::size_t endpoint, double share);
    std::size_t ownerOf(std::uint16_t key) const;

    /** The process ends without a word: its callers are gone, and it answers nobody. */
    void kill(std::size_t instance);
    /** The process stops as planned: its queues are handed over. */
    void resign(std::size_t instance);
    /** Index of the instance that keeps the queue of an endpoint. */
    std::size_t keeperOf(std::size_t endpoint) const;

    /** Plays @p duration of arrivals. */
    void play(time_span duration);
    /** Plays until all requests have ended. */
    void settle();

    /** Results of requests that @p accept selects by key and priority; all without it. */
    world_result result(const std::function<bool(std::uint16_t key, std::uint32_t priority)> &accept = nullptr) const;

    monotonic_time now() const noexcept
    {
        return m_now;
    }

private:
    struct world_endpoint;
    struct world_instance;
    struct world_request {
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

    void at(monotonic_time when, std::function<void()> what);
    void run(monotonic_time end);
    void wake(std::size_t instance);
    void submit();
    void publish(world_instance &instance);
    void arrive(std::size_t request, std::size_t instance, endpoint_attempt_id attempt, std::size_t endpoint);
    void startNext(std::size_t endpoint);
    void finish(std::size_t endpoint, std::uint64_t run);
    void reply(std::size_t instance, endpoint_attempt_id attempt, const endpoint_reply &reply);
    void abort(std::size_t instance, endpoint_attempt_id attempt);

    world_settings m_settings;
    monotonic_time m_now{ std::chrono::seconds(10) };
    monotonic_time m_start = m_now;
    std::multimap<monotonic_time, std::function<void()>> m_events;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<world_endpoint>> m_endpoints;
    std::vector<std::unique_ptr<world_instance>> m_instances;
    std::map<network_address, std::size_t> m_addresses;
    std::vector<world_request> m_requests;
    keeper_candidates m_candidates;
    std::size_t m_overfilled = 0;
    std::uint64_t m_lastRun = 0;
};

} // namespace sycamoretray
