#pragma once

#include "standins/common/http_server.h"
#include "standins/log_service/log_stream.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace sycamoretray::standins
{

struct log_service_settings {
    long long retentionMs = 0; ///< 0: records do not expire by time
    std::uint64_t retentionRecords = 0; ///< 0: records do not expire by count
    double appendsPerSecond = 500;
};

/**
 * The platform's log service as specified in docs/protocols.md. POST /control injects faults:
 * {"outage": bool, "latency_ms": n, "append_latency_ms": n, "lose_replies": n, "hold": bool}. The next lose_replies
 * appends take effect, but their connection is closed without a reply. While hold is set, appends are delayed; they take
 * effect when it is cleared, even if the client has timed out by then. GET /control returns counters.
 *
 * Thread safety: none.
 */
class log_service
{
public:
    log_service(boost::asio::io_context &context, log_service_settings settings);

    void handle(http_request request, respond_function respond);

private:
    struct waiting_read {
        http_request request;
        respond_function respond;
        long long until = 0;
    };

    void dispatch(const http_request &request, const respond_function &respond);
    void control(const http_request &request, const respond_function &respond);
    void append(const std::string &stream, const http_request &request, const respond_function &respond);
    void read(const std::string &stream, const http_request &request, const respond_function &respond);
    http_response readNow(const log_stream &stream, std::uint64_t from, std::size_t maximum) const;
    bool takeAppendToken();
    void retryWaitingReads(const std::string &stream);
    void expireWaitingReads();
    void runAfter(long long milliseconds, std::function<void()> action);
    nlohmann::json counters() const;

    boost::asio::io_context &m_context;
    log_service_settings m_settings;
    std::map<std::string, log_stream> m_streams;
    std::map<std::string, std::list<waiting_read>> m_waitingReads;
    std::vector<std::function<void()>> m_heldAppends;
    double m_appendTokens = 0;
    long long m_tokensUpdatedAt = 0;
    bool m_outage = false;
    bool m_hold = false;
    long long m_latencyMs = 0;
    long long m_appendLatencyMs = 0;
    long long m_loseReplies = 0;
    std::uint64_t m_appends = 0;
    std::uint64_t m_appendedBytes = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_rateLimitedAppends = 0;
    std::map<long long, std::uint64_t> m_appendsBySecond;
};

} // namespace sycamoretray::standins
