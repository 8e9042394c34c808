#pragma once

#include "base/ids.h"
#include "executor/serial_executor.h"
#include "key_ownership/assigner_watch.h"
#include "key_ownership/key_load.h"
#include "metadata_store/metadata_store.h"
#include "sycamoretrayd/gateway/endpoint_connections.h"
#include "sycamoretrayd/gateway/store_feeds.h"

#include <functional>
#include <memory>
#include <string>

namespace sycamoretray
{

struct ownership_runner_settings {
    instance_id instance;
    availability_zone zone;
    /** Distinguishes this incarnation from earlier ones of the instance. */
    std::string incarnation;
    network_address internalAddress;
    time_span memberTimeToLive{};
    /** Longest validity of a grant that endpoints accept. */
    time_span longestGrant = std::chrono::seconds(10);
    /** Processor share of the instance, in cores. */
    double processorShare = 1;
};

/** Collaborators of an ownership_runner; all of them must outlive it. */
struct ownership_environment {
    metadata_store &store;
    store_feeds &feeds;
    endpoint_connections &endpoints;
    /** Asks the assigner at the address to stop if its epoch is lower than @p epoch. */
    std::function<void(const network_address &assigner, std::uint64_t epoch, std::function<void(assigner_stop_answer answer)> done)> requestAssignerStop;
    /** Called each time the store confirmed the membership in the zone's group. */
    std::function<void()> storeAnswered;
    /** Returns for how long the relay of the zone has failed. */
    std::function<time_span()> relayFailureDuration;
};

/**
 * Runs the elections in which this instance takes part, and the duties of their leaders. The relay of an availability zone reads the
 * store on behalf of the zone's instances. The relays of all zones elect the assigner, which assigns the keys of all services to endpoints.
 * Isolated relays do not take part; if nobody is elected, other instances stand in.
 *
 * Thread safety: none; used on the strand of its executor.
 */
class ownership_runner
{
public:
    ownership_runner(serial_executor executor, ownership_runner_settings settings, ownership_environment environment);
    ~ownership_runner();
    ownership_runner(const ownership_runner &) = delete;
    ownership_runner &operator=(const ownership_runner &) = delete;

    void start();

    /** Stops assigning and leaves both groups. */
    void leave();

    /**
     * Has to be called when this instance becomes isolated, and when it is so no longer. An isolated instance is not the assigner: it resigns at
     * once and leaves the election. It can remain the relay of its zone. Must not be called from within a callback of the endpoints' connections.
     */
    void setIsolated(bool isolated);

    /** Has to be called when the store has returned from an older copy: writes again what this instance wrote there. */
    void storeRestored();

    /** Has to be called when the endpoints or the services have changed. */
    void directoryChanged();

    /** Passes a report to the assigner of its service; returns false if this instance does not assign the keys of the service. */
    bool addLoad(const load_report &report);

    /** Stops assigning keys because another instance assigns them with @p epoch. Refuses if this instance assigns with that epoch or a later one. */
    assigner_stop_answer stopAssigningBefore(std::uint64_t epoch);

    /**
     * Returns whether this instance is the relay of its zone and is up to date with the store.
     *
     * @param forRelay  applies the stricter limit for reads by other relays
     */
    bool isCurrentRelay(bool forRelay) const;

    /** Returns whether this instance is the assigner. */
    bool isLeader() const;

    /** Returns whether this instance is the elected relay of its zone, up to date or not. */
    bool leadsZoneGroup() const;

    /** Number of endpoints that do not answer the orders of this instance; 0 if it is not the assigner. */
    std::size_t unresponsiveEndpoints() const;

    /** Number of keys whose owner holds them no longer because its grant was not renewed; 0 if this instance is not the assigner. */
    std::uint32_t lapsedKeys() const;

    /** Returns whether the store answered recently or has not been called yet. */
    bool isStoreAnswering() const;

    /** Returns the state as JSON. */
    std::string dump() const;

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
