#pragma once

#include "base/ids.h"
#include "executor/serial_executor.h"
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
    /** Distinguishes this process from earlier ones of the instance. */
    std::string incarnation;
    network_address internalAddress;
    time_span memberTimeToLive{};
    /** Longest grant that endpoints accept. */
    time_span longestGrant = std::chrono::seconds(10);
    /** Processor that the instance may use, in cores. */
    double processorShare = 1;
};

/** What an ownership_runner works with; all of it outlives the runner. */
struct ownership_environment {
    metadata_store &store;
    store_feeds &feeds;
    endpoint_connections &endpoints;
    /** Asks the assigner at an address to stop if its epoch is lower; the result says whether it certainly sends nothing more. */
    std::function<void(const network_address &assigner, std::uint64_t epoch, std::function<void(bool stopped)> done)> askToStop;
    /** Called each time the store confirmed the membership in the zone's group. */
    std::function<void()> storeAnswered;
    /** How long the relay of the zone has failed. */
    std::function<time_span()> relayFailing;
};

/**
 * This instance's part in reading the store for its zone and in assigning keys: membership in the groups, leadership, and the
 * assigners of all services while leading.
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

    /** Stops assigning and leaves the group. */
    void leave();

    /** The endpoints or the services changed. */
    void directoryChanged();

    /** Takes a report if this instance assigns keys; returns whether it did. */
    bool addLoad(const load_report &report);

    /**
     * Another instance with @p epoch assigns keys now. Returns whether this instance sends nothing more by an earlier epoch.
     */
    bool stopBefore(std::uint64_t epoch);

    /** This instance reads the store for its zone, and the store answers; lately enough for other relays if @p toRelay. */
    bool isRelay(bool toRelay) const;

    /** This instance assigns keys. */
    bool leads() const;

    /** This instance was chosen to read the store for its zone. */
    bool leadsZone() const;

    /** The store answered lately, or was not asked yet. */
    bool storeAnswers() const;

    /** Returns the state as JSON. */
    std::string dump() const;

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
