#pragma once

#include "standins/common/http_connection.h"
#include "standins/load_tool/arrival_schedule.h"
#include "standins/load_tool/request_history.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sycamoretray::standins
{

struct runner_settings {
    std::vector<std::string> instances;
    std::uint32_t connectionsPerInstance = 50;
    long long attemptTimeoutMs = 2000;
    long long deadlineMs = 10000;
    long long retryPauseMs = 10;
    /** The addresses are those of servers, which are called directly to compare latencies. */
    bool direct = false;
    std::uint64_t seed = 1;
};

/**
 * Sends the requests of a schedule at their arrival times, independent of the progress of earlier ones, to instances
 * chosen at random. It retries as callers may, at another instance and until the deadline: requests that were not run,
 * refused or lost with their connection, non-idempotent ones with the same id, and idempotent requests whose outcome is
 * unknown. An instance that is stopping or refuses connections gets no requests for a second, as behind the platform's
 * load balancer.
 *
 * Thread safety: none.
 */
class load_runner
{
public:
    load_runner(boost::asio::io_context &context, runner_settings settings, std::vector<planned_request> schedule);
    ~load_runner();

    /** Starts the schedule now. The io_context runs out of work when every request is finished. */
    void start();

    /** Returns the attempts of each request, in the order of the schedule. Precondition: the io_context has run out of work. */
    const std::vector<request_history> &histories() const;

private:
    struct instance_pool;

    void scheduleNext();
    void attempt(std::size_t index);
    void sendOn(std::size_t index, std::size_t instance, std::size_t connection);
    http_request makeRequest(std::size_t index) const;
    void handleResult(std::size_t index, exchange_result result, const http_response &response);
    void classifyResponse(std::size_t index, request_attempt &attempt, const http_response &response) const;
    bool mayRetry(std::size_t index) const;
    void releaseConnection(std::size_t instance, std::size_t connection);
    std::size_t chooseInstance(std::size_t index);
    void avoidUnavailableInstance(const request_attempt &attempt);

    boost::asio::io_context &m_context;
    runner_settings m_settings;
    std::vector<planned_request> m_schedule;
    std::vector<request_history> m_histories;
    std::vector<std::string> m_ids;
    std::vector<std::unique_ptr<instance_pool>> m_pools;
    std::vector<long long> m_avoidUntil; ///< by instance, steady microseconds
    std::mt19937_64 m_random;
    std::size_t m_nextIndex = 0;
    long long m_startedAt = 0;
};

} // namespace sycamoretray::standins
