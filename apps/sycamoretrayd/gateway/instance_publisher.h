#pragma once

#include "base/ids.h"
#include "metadata_store/metadata_store.h"
#include "permits/instance_list_tracker.h"

namespace sycamoretray
{

/**
 * Publishes the live instances of a zone while this instance is the zone's relay. An instance counts as live while it reads from
 * the relay.
 *
 * Thread safety: none; used on the strand of the store.
 */
class instance_publisher
{
public:
    /** @param store  must outlive this object */
    instance_publisher(metadata_store &store, availability_zone zone, coordinator_candidate self);

    /** Has to be called when @p instance has read from this one. @param weight  0 if it is about to stop */
    void instanceSeen(const network_address &instance, double weight, monotonic_time now);

    /**
     * Publishes the list if it is due. Call it regularly.
     *
     * @param isRelay  whether this instance is the relay of the zone, with complete and recent copies of the topics
     */
    void update(bool isRelay, const coordinator_candidates &published, monotonic_time now);

    /** Has to be called when the store may have lost the published list, which is then published again. */
    void storeRestored();

private:
    metadata_store &m_store;
    availability_zone m_zone;
    coordinator_candidate m_self;
    instance_list_tracker m_listTracker;
    bool m_censusRunning = false;
    /** The store may have lost the published list. */
    bool m_listLost = false;
};

} // namespace sycamoretray
