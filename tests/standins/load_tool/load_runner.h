#pragma once

#include "standins/common/http_connection.h"
#include "standins/load_tool/arrival_script.h"
#include "standins/load_tool/request_fate.h"

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
    /** The addresses are servers that are called without an instance between; only for comparisons. */
    bool direct = false;
    std::uint64_t seed = 1;
};

/**
 * Sends the requests of a script at their times, whatever the state of earlier ones, to instances drawn at random. As
 * a caller may, it repeats what was not run or refused, and after a lost connection it repeats idempotent requests, and
 * non-idempotent ones under the same id, at another instance, until the deadline. An instance that is stopping or refuses
 * connections gets no requests for a second, as behind the platform's load balancer.
 *
 * Thread safety: none.
 */
class load_runner
{
public:
    load_runner(boost::asio::io_context &context, runner_settings settings, std::vector<planned_request> script);
    ~load_runner();

    /** Schedules the script from now on; the io_context runs out of work when every request is finished. */
    void start();

    /** The fates in script order. Precondition: the io_context has run out of work. */
    const std::vector<request_fate> &fates() const;

private:
    struct instance_pool;

    void scheduleNext();
    void attempt(std::size_t index);
    void sendOn(std::size_t index, std::size_t instance, std::size_t connection);
    http_request messageFor(std::size_t index) const;
    void finished(std::size_t index, exchange_result result, const http_response &response);
    void judge(std::size_t index, request_attempt &attempt, const http_response &response) const;
    bool mayRepeat(std::size_t index) const;
    void connectionFree(std::size_t instance, std::size_t connection);
    std::size_t drawInstance(std::size_t index);
    void avoidLeaving(const request_attempt &attempt);

    boost::asio::io_context &m_context;
    runner_settings m_settings;
    std::vector<planned_request> m_script;
    std::vector<request_fate> m_fates;
    std::vector<std::string> m_ids;
    std::vector<std::unique_ptr<instance_pool>> m_pools;
    std::vector<long long> m_avoidUntil; ///< by instance, steady microseconds
    std::mt19937_64 m_random;
    std::size_t m_next = 0;
    long long m_startedAt = 0;
};

} // namespace sycamoretray::standins
