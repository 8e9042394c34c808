#pragma once

#include "directory/endpoint_directory.h"
#include "directory/request_routes.h"
#include "executor/serial_executor.h"
#include "key_ownership/ownership_view.h"
#include "metadata_store/metadata_store.h"
#include "permits/keeper_ranking.h"

#include <functional>
#include <map>
#include <memory>

namespace sycamoretray
{

/** What changed, told on the strand of the executor. */
struct feed_observer {
    std::function<void()> endpointsChanged;
    std::function<void()> routesChanged;
    std::function<void()> ownershipChanged;
    std::function<void()> relaysChanged;
    std::function<void()> instancesChanged;
};

class topic_relay;

/**
 * Keeps the endpoints, the configuration and the ownership records as the metadata store has them.
 *
 * Thread safety: none; used on the strand of its executor.
 */
class store_feeds
{
public:
    /** @param relay  gets a copy of all topics */
    store_feeds(metadata_store &store, topic_relay &relay, serial_executor executor, feed_observer observer);
    ~store_feeds();
    store_feeds(const store_feeds &) = delete;
    store_feeds &operator=(const store_feeds &) = delete;

    /** Follows the ownership records, which name the relay of the zone. */
    void start();

    /** Follows the endpoints and the configuration as well. Repeated calls have no effect. */
    void startAll();

    /** The store answers again after a failure: reads whose connections may be dead are started anew. */
    void restart();

    /** Removes endpoints that did not register again after the store was away. */
    void expire(monotonic_time now);

    /** Takes a record that this instance has written, ahead of the feed. */
    void applyOwnership(const ownership_record &record);

    const endpoint_directory &directory() const noexcept;
    const ownership_view &ownership() const noexcept;
    /** Empty before the first configuration. */
    const std::shared_ptr<const request_routes> &routes() const noexcept;
    /** All endpoints and ownership records that existed at the start are known. */
    bool isComplete() const noexcept;
    /** All topics were listed, whether a configuration exists or not. */
    bool isListed() const noexcept;
    /** Internal address of the instance of each availability zone that reads the store for the others. */
    const std::map<availability_zone, network_address> &relays() const noexcept;
    /** Live instances of each availability zone, as their relays have published them. */
    const keeper_candidates &instances() const noexcept;
    /** Reads fail at present. */
    bool isLost() const noexcept;
    /** Offset up to which ownership records are known. */
    log_offset ownershipPosition() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
