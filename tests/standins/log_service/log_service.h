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
 * The log service of docs/protocols.md, with faults set by POST /control:
 * {"outage": bool, "latency_ms": n, "append_latency_ms": n, "lose_replies": n, "hold": bool}. lose_replies is the number
 * of next appends that take effect but whose connection is closed without a reply. hold delays appends until it is
 * cleared: they take effect then, also if the author gave up long before. GET /control gives counters.
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
    void after(long long milliseconds, std::function<void()> action);
    nlohmann::json counters() const;

    boost::asio::io_context &m_context;
    log_service_settings m_settings;
    std::map<std::string, log_stream> m_streams;
    std::map<std::string, std::list<waiting_read>> m_waiting;
    std::vector<std::function<void()>> m_held;
    double m_tokens = 0;
    long long m_tokensAt = 0;
    bool m_outage = false;
    bool m_hold = false;
    long long m_latencyMs = 0;
    long long m_appendLatencyMs = 0;
    long long m_loseReplies = 0;
    std::uint64_t m_appends = 0;
    std::uint64_t m_appendedBytes = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_limited = 0;
    std::map<long long, std::uint64_t> m_appendsBySecond;
};

} // namespace sycamoretray::standins
