#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "executor/serial_executor.h"
#include "http_message/http_message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamoretray
{

/** One instance as the instance list shows it. */
struct instance_list_entry {
    instance_id instance;
    incarnation_id incarnation;
    availability_zone zone;
    network_address peerAddress;
    bool leaving = false;
};

/** Decodes the reply to GET /instances. Returns nothing if it does not have the form described in docs/protocols.md. Thread-safe. */
std::optional<std::vector<instance_list_entry>> decodeInstanceList(const http_response &response);

/**
 * Client of the instance list service; docs/protocols.md describes the protocol.
 *
 * Thread safety: none; all calls are made on the strand of the executor, and callbacks run on it.
 */
class instance_list_client
{
public:
    instance_list_client(serial_executor executor, const network_address &address);
    ~instance_list_client();
    instance_list_client(const instance_list_client &) = delete;
    instance_list_client &operator=(const instance_list_client &) = delete;

    /** Reads the list. @p done receives an empty value if the service did not answer, or not with a valid list. */
    void read(time_span timeout, std::function<void(std::optional<std::vector<instance_list_entry>>)> done);

    /** Adds or replaces the entry of an instance. @p done receives true if the service accepted it. */
    void put(const instance_list_entry &entry, time_span timeout, std::function<void(bool)> done);

    /** Removes the entry of an instance. @p done receives true if the service accepted it. */
    void remove(const instance_id &instance, time_span timeout, std::function<void(bool)> done);

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
