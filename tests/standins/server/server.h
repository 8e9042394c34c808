#pragma once

#include "standins/common/http_server.h"
#include "standins/common/run_journal.h"
#include "standins/server/lease_holder.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sycamoretray::standins
{

struct server_settings {
    std::string name;
    std::uint32_t workerSlots = 2;
    bool checksTokens = true;
    /** The service is divided by key: a request runs only if the server owns its slot or key. */
    bool dividedByKey = true;
    /** Run time in microseconds of requests whose target contains the text; the first match applies. */
    std::vector<std::pair<std::string, long long>> runTimes;
    long long defaultRunTime = 0;
    std::string journalPath;
};

/**
 * A server that runs requests only while it holds a lease, unless checksTokens is false. It records the start and commit of each run in the journal
 * file, and returns them from GET /control/runs. POST /control accepts:
 * - {"freeze_ms": n}: the process does nothing for this time;
 * - {"cold_ms": n, "cold_factor": f}: for this time, run times are multiplied by the factor;
 * - {"draining": bool}: the reported draining state;
 * - {"shed": bool}: refuse all requests with status 503;
 * - {"load_report": {...} or null}: report this load instead of the actual one.
 *
 * A request with the header field Test-Crash crashes the process; Test-Run-Us sets its run time.
 *
 * Thread safety: none.
 */
class server
{
public:
    server(boost::asio::io_context &context, server_settings settings);

    void handle(http_request request, respond_function respond);

private:
    enum class run_state {
        not_started,
        running,
        finished,
    };

    struct pending_request {
        http_request request;
        respond_function respond;
        std::string id;
        std::string key;
        std::uint16_t slot = 0;
        std::uint64_t term = 0;
        long long deadline = 0;
        bool cancelled = false;
    };

    void lease(const http_request &request, const respond_function &respond);
    void recordLease(const lease_holder::reply &reply, bool termChanged);
    void cancel(const http_request &request, const respond_function &respond);
    void control(const http_request &request, const respond_function &respond);
    void freeze(long long milliseconds);
    void accept(http_request request, respond_function respond);
    void startNext();
    void start(const std::shared_ptr<pending_request> &pending);
    void commit(const std::shared_ptr<pending_request> &pending);
    void refuse(const pending_request &pending, unsigned status);
    bool mayRun(const pending_request &pending) const;
    void recordRun(const char *event, const pending_request &pending, bool owned);
    long long runTime(const http_request &request) const;
    nlohmann::json loadReport() const;

    boost::asio::io_context &m_context;
    server_settings m_settings;
    lease_holder m_lease;
    run_journal m_journal;
    std::deque<std::shared_ptr<pending_request>> m_queue;
    std::unordered_map<std::string, run_state> m_states;
    std::deque<std::string> m_stateOrder;
    nlohmann::json m_runs = nlohmann::json::array();
    std::uint32_t m_running = 0;
    std::uint32_t m_mostQueued = 0;
    bool m_draining = false;
    bool m_shed = false;
    long long m_coldUntil = 0;
    double m_coldFactor = 1;
    nlohmann::json m_loadReportOverride;
};

} // namespace sycamoretray::standins
