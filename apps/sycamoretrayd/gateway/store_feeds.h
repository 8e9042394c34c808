#pragma once

#include "directory/endpoint_directory.h"
#include "directory/evacuated_zones.h"
#include "directory/request_routes.h"
#include "executor/serial_executor.h"
#include "key_ownership/ownership_view.h"
#include "metadata_store/metadata_store.h"
#include "permits/coordinator_ranking.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace sycamoretray
{

/** Change notifications, called on the strand of the executor. */
struct feed_observer {
    std::function<void()> endpointsChanged;
    std::function<void()> routesChanged;
    std::function<void()> ownershipChanged;
    std::function<void()> relaysChanged;
    std::function<void()> instancesChanged;
    /** The store has returned from an older copy, which may lack records of this system. Called after the ownership topic was listed again. */
    std::function<void()> storeRestored;
    /** An endpoint began to leave. @p source  "directory" or "answer" */
    std::function<void(std::string_view source)> endpointLeaves = [](std::string_view /*source*/) {};
};

class topic_relay;

/**
 * Follows the topics of the metadata store and keeps a copy of the endpoints, the configuration, the ownership records, the relays and
 * the instances.
 *
 * Thread safety: none; used on the strand of its executor.
 */
class store_feeds
{
public:
    /** @param relay  receives a copy of all topics; must outlive this object, as must @p store */
    store_feeds(metadata_store &store, topic_relay &relay, serial_executor executor, feed_observer observer);
    ~store_feeds();
    store_feeds(const store_feeds &) = delete;
    store_feeds &operator=(const store_feeds &) = delete;

    /** Follows the ownership records, which name the relay of the zone. */
    void start();

    /** Follows the endpoints and the configuration as well. Repeated calls have no effect. */
    void startAll();

    /** Restarts all reads, because their connections may be dead after a failure of the store. */
    void restart();

    /** Removes endpoints that did not register again after an outage of the store, and evacuations that the operator did not write again. */
    void expire(monotonic_time now);

    /** Treats an endpoint as draining, because it said in an answer that it leaves. Repeated calls have no effect. */
    void endpointLeaves(const endpoint_incarnation &incarnation, monotonic_time now);

    /** Applies a record that this instance has written, before it is read back from the store. */
    void applyOwnership(const ownership_record &record);

    const endpoint_directory &directory() const noexcept;
    /** Zones that the operator has evacuated; directory() marks their endpoints. */
    const std::set<availability_zone> &evacuatedZones() const noexcept;
    /** Returns their names as JSON. */
    std::string dumpEvacuatedZones() const;
    const ownership_view &ownership() const noexcept;
    /** Empty before the first configuration. */
    const std::shared_ptr<const request_routes> &routes() const noexcept;
    /** Returns whether a configuration and all endpoints and ownership records that existed at the start are known. */
    bool isComplete() const noexcept;
    /** Returns whether all topics were listed, even if no configuration exists. */
    bool isListed() const noexcept;
    /** Internal address of the relay of each availability zone. */
    const std::map<availability_zone, network_address> &relays() const noexcept;
    /** Live instances of each availability zone, as published by their relays. */
    const coordinator_candidates &instances() const noexcept;
    /** Returns whether reads of any topic fail at present. */
    bool isReadFailing() const noexcept;
    /** Era of the store in which the ownership records were listed. */
    store_era era() const noexcept;
    /** Position up to which ownership records are known. */
    const topic_position &ownershipPosition() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
