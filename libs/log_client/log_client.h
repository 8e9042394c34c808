#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "executor/serial_executor.h"
#include "log_client/log_codec.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamoretray
{

/**
 * Client of the log service; docs/protocols.md describes the protocol.
 *
 * Thread safety: none; all calls are made on the strand of the executor, and callbacks run on it.
 */
class log_client
{
public:
    log_client(serial_executor executor, const network_address &address);

    /** No callback runs after the destructor. */
    ~log_client();
    log_client(const log_client &) = delete;
    log_client &operator=(const log_client &) = delete;

    /**
     * Reads at most @p maxRecords records of @p stream, starting at @p from.
     *
     * @param wait  how long the service may delay its reply while there is no record yet
     * @param timeout  time after which the read fails; must be longer than @p wait
     */
    void read(const std::string &stream,
              log_offset from,
              std::uint32_t maxRecords,
              time_span wait,
              time_span timeout,
              std::function<void(log_read_reply)> done);

    /** Appends @p records. After a timeout or a lost connection the result is append_unknown, or append_failed if nothing was sent. */
    void append(const std::string &stream, const std::vector<std::string> &records, time_span timeout, std::function<void(log_append_reply)> done);

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
