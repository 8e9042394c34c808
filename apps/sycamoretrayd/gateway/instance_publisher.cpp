#include "sycamoretrayd/gateway/instance_publisher.h"

#include "observability/event_log.h"
#include "platform/topics.h"
#include "sycamoretrayd/gateway/relay_record.h"

#include <utility>

namespace sycamoretray
{

instance_publisher::instance_publisher(metadata_store &store, availability_zone zone, coordinator_candidate self)
    : m_store(store)
    , m_zone(std::move(zone))
    , m_self(std::move(self))
{
}

void instance_publisher::instanceSeen(const network_address &instance, double weight, monotonic_time now)
{
    m_listTracker.recordSeen(instance, weight, now);
}

void instance_publisher::storeRestored()
{
    m_listLost = true;
}

void instance_publisher::update(bool isRelay, const coordinator_candidates &published, monotonic_time now)
{
    const auto known = published.find(m_zone);
    const std::vector<coordinator_candidate> list = known == published.end() || m_listLost ? std::vector<coordinator_candidate>() : known->second;
    if (isRelay && !m_censusRunning) {
        m_listTracker.start(list, now);
    }
    m_censusRunning = isRelay;
    if (!isRelay) {
        return;
    }
    m_listTracker.recordSeen(m_self.address, m_self.weight, now);
    const auto due = m_listTracker.takeListToPublish(list, now);
    if (!due) {
        return;
    }
    m_listLost = false;
    logEvent("instances_published", { { "zone", m_zone.value() }, { "instances", std::to_string(due->size()) } });
    m_store.append(platform::ownershipTopic, { { instancesKey(m_zone), encodeCandidates(*due) } }, std::nullopt, [](const append_reply &reply) {
        if (reply.result != store_result::ok) {
            // The published record still differs from the tracked list, so the next update publishes the list again.
            logEvent(event_severity::warning, "instances_not_published", {});
        }
    });
}

} // namespace sycamoretray
