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

/** What a request to a server carries in addition to the caller's fields. */
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
    /** The server certainly did not run it. */
    refused,
    /** It is unknown whether the server ran it, unless sent is false. */
    failed,
};

struct attempt_result {
    attempt_result_class result = attempt_result_class::failed;
    bool sent = true;
    /** Why the attempt failed. */
    result_code code = result_code::ok;
    /** Set if answered. */
    http_response answer;
};

struct server_client_settings {
    std::uint32_t maxConnections = 100;
    std::uint32_t workerSlots = 2;
    std::uint64_t answerBytes = 16ULL * 1024 * 1024;
};

/**
 * Requests to one server, on a pool of connections.
 *
 * Thread safety: none; all calls are made on the strand of the executor, and callbacks run on it.
 */
class server_client
{
public:
    server_client(serial_executor executor, const network_address &address, server_client_settings settings);

    /** No callback runs afterwards. */
    ~server_client();
    server_client(const server_client &) = delete;
    server_client &operator=(const server_client &) = delete;

    /** Opens connections before the first request needs them. */
    void open();

    /**
     * Sends a caller's request.
     *
     * A truncated answer, or one that carries another request id, is never passed on: the attempt fails.
     *
     * @param request  fields of ours and about the connection are already removed
     * @param timeout  time until the attempt is given up; at least timeLeft
     */
    void send(const http_request &request, const server_request_fields &fields, time_span timeout, std::function<void(attempt_result)> done);

    /** Asks the server not to start a request, without waiting for the reply. */
    void cancel(const request_id &request);

    std::uint32_t openConnections() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

/**
 * Lease requests to one server, on connections of their own, so that they never wait behind callers' requests.
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

    /** Sends a lease request. @p done gets the reply, or nullptr after a timeout, a lost connection or a malformed reply. */
    void send(const send_lease &lease, std::function<void(const lease_reply *)> done);

private:
    struct impl;
    std::unique_ptr<impl> d;
};

/** Decides what a complete response to the request @p expected means. Thread-safe. */
attempt_result classifyAnswer(http_response response, const request_id &expected);

} // namespace sycamoretray
