#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "executor/serial_executor.h"
#include "http_client/http_connection_pool.h"
#include "permits/coordinator_ranking.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamoretray
{

/**
 * Returns the instances that can be relays, as far as the instance at @p self knows: those that the records name, and the strongest ones of each zone,
 * among which successors are elected. Thread-safe.
 */
std::vector<network_address> alternateRelays(const std::map<availability_zone, network_address> &relays,
                                             const coordinator_candidates &instances,
                                             const network_address &self);

/**
 * Other relays, which an instance asks while neither the relay of its zone, as it knows it, nor the store answers. One is asked at a time; after a failure
 * it is the turn of the next, after a backoff.
 *
 * Thread safety: none; used on the strand of its executor.
 */
class alternate_relays
{
public:
    /** @param settings  of the connections to relays */
    alternate_relays(serial_executor executor, connection_pool_settings settings);

    /** Replaces the internal addresses of the relays. */
    void set(const std::vector<network_address> &addresses);

    /** Returns whether a relay may be asked now. */
    bool isUsable() const;

    /** Connections to the relay that is asked at present; null if there is none. */
    const std::shared_ptr<http_connection_pool> &pool() const noexcept;

    /**
     * Sends a GET request to the relay that is asked at present. @p done gets the result, of which only an answer with status 200 counts as success.
     * Precondition: isUsable().
     *
     * @return an id for pool()->abort()
     */
    std::uint64_t get(const std::string &target, time_span timeout, http_connection_pool::callback done);

private:
    struct state;
    std::shared_ptr<state> d;
};

} // namespace sycamoretray
