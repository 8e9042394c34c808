#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/result_code.h"
#include "executor/serial_executor.h"
#include "http_message/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sycamoretray
{

struct send_lease;
struct lease_reply;

/** Values sent to the server in header fields of the router, in addition to the caller's fields. */
struct server_request_fields {
    request_id requestId;
    home_term term;
    hash_slot slot;
    std::string key;
    time_span timeLeft{};
};

enum class attempt_result_class {
    /** The server's complete answer to this request. */
    answered,
    /** The server certainly did not run the request. */
    refused,
    /** There is no valid answer. Whether the server ran the request is unknown, unless sent is false. */
    failed,
};

struct attempt_result {
    attempt_result_class result = attempt_result_class::failed;
    /** False only if certainly nothing reached the server. */
    bool sent = true;
    /** Reason of a failure. */
    result_code code = result_code::ok;
    /** Set only if answered. */
    http_response answer;
};

struct server_client_settings {
    std::uint32_t maxConnections = 100;
    std::uint32_t workerSlots = 2;
    /** Largest body of an answer. */
    std::uint64_t answerBytes = 16ULL * 1024 * 1024;
};

/**
 * Sends requests to one server over a pool of connections.
 *
 * Thread safety: none; all calls are made on the strand of the executor, and callbacks run on it.
 */
class server_client
{
public:
    server_client(serial_executor executor, const network_address &address, server_client_settings settings);

    /** No callback runs after the destructor returns. */
    ~server_client();
    server_client(const server_client &) = delete;
    server_client &operator=(const server_client &) = delete;

    /** Opens connections before the first request needs them. */
    void open();

    /**
     * Sends a caller's request. If the answer is truncated or has another request id, the attempt fails.
     *
     * @param request  without connection-specific fields and the router's own fields
     * @param timeout  time until the attempt fails; at least timeLeft
     * @param done     called with the result
     */
    void send(const http_request &request, const server_request_fields &fields, time_span timeout, std::function<void(attempt_result)> done);

    /** Asks the server not to start a request; the reply is ignored. */
    void cancel(const request_id &request);

    std::uint32_t openConnections() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

/**
 * Sends lease requests to one server, over separate connections so that they never wait for callers' requests.
 *
 * Thread safety: as for server_client.
 */
class lease_client
{
public:
    lease_client(serial_executor executor, const network_address &address, incarnation_id home);
    ~lease_client();
    lease_client(const lease_client &) = delete;
    lease_client &operator=(const lease_client &) = delete;

    /** Sends a lease request. @p done gets the reply, or nullptr after a timeout, a connection loss or a malformed reply. */
    void send(const send_lease &lease, std::function<void(const lease_reply *)> done);

private:
    struct impl;
    std::unique_ptr<impl> d;
};

/** Classifies a complete response to the request @p expected. Thread-safe. */
attempt_result classifyAnswer(http_response response, const request_id &expected);

} // namespace sycamoretray
