#pragma once

#include "base/ids.h"
#include "executor/serial_executor.h"
#include "http_entry/http_server.h"
#include "key_ownership/assigner_watch.h"
#include "observability/metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace sycamoretray
{

/** Functions that produce the answers of the internal API; called on the strand of the executor. */
struct internal_api_functions {
    std::function<std::string()> dump;
    /** See ownership_runner::stopAssigningBefore(). */
    std::function<assigner_stop_answer(std::uint64_t epoch)> stopAssigningBefore;
    /** Handles a request that another instance forwarded. */
    std::function<void(http_request request, std::shared_ptr<answer_handle> handle)> handleForward;
    /** See topic_relay::handle(). */
    std::function<bool(const http_request &request, const std::shared_ptr<answer_handle> &handle)> handleTopics;
};

/**
 * HTTP interface for other instances and operators: GET /metrics, GET /state, POST /v1/assigner/stop?epoch=N, the requests of
 * topic_relay, and callers' requests that other instances forward.
 *
 * Thread safety: none; used on the strand of the executor.
 */
class internal_api
{
public:
    internal_api(boost::asio::io_context &context,
                 serial_executor executor,
                 http_server_settings settings,
                 const metrics_registry &metrics,
                 internal_api_functions functions);
    ~internal_api();
    internal_api(const internal_api &) = delete;
    internal_api &operator=(const internal_api &) = delete;

    /** Starts to listen. Returns the error if the address cannot be used. */
    std::error_code start();

    /** Changes the limits on requests. */
    void setLimits(const caller_transfer_limits &limits);

private:
    struct impl;
    std::unique_ptr<impl> d;
};

/**
 * Sends requests to stop assigning keys to other instances.
 *
 * Thread safety: as for internal_api.
 */
class assigner_stop_client
{
public:
    explicit assigner_stop_client(serial_executor executor);
    ~assigner_stop_client();
    assigner_stop_client(const assigner_stop_client &) = delete;
    assigner_stop_client &operator=(const assigner_stop_client &) = delete;

    /** Asks @p assigner to stop if its epoch is lower than @p epoch. */
    void requestStop(const network_address &assigner, std::uint64_t epoch, std::function<void(assigner_stop_answer answer)> done);

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
