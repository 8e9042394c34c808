#include "permits/instance_list_tracker.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// A read is held for up to 1 s, and an instance that has lost the connection to the relay retries after 1.5 s.
constexpr time_span unresponsiveTimeout = std::chrono::seconds(5);
constexpr time_span minPublishInterval = std::chrono::seconds(4);
// Shorter than minPublishInterval, because many instances start together when a site starts.
constexpr time_span minPublishIntervalOnGrowth = std::chrono::milliseconds(800);
constexpr double significantGrowthFactor = 1.25;

} // namespace

void instance_list_tracker::start(const std::vector<coordinator_candidate> &published, monotonic_time now)
{
    m_instances.clear();
    m_lastPublished.reset();
    for (const coordinator_candidate &each : published) {
        m_instances[each.address] = { each.weight, now };
    }
}

void instance_list_tracker::recordSeen(const network_address &instance, double weight, monotonic_time now)
{
    if (weight <= 0) {
        m_instances.erase(instance);
        return;
    }
    m_instances[instance] = { weight, now };
}

std::vector<coordinator_candidate> instance_list_tracker::current(monotonic_time now) const
{
    std::vector<coordinator_candidate> result;
    for (const auto &[address, instance] : m_instances) {
        if (now - instance.lastSeen < unresponsiveTimeout) {
            result.push_back({ address, instance.weight });
        }
    }
    return result;
}

std::optional<std::vector<coordinator_candidate>> instance_list_tracker::takeListToPublish(const std::vector<coordinator_candidate> &published,
                                                                                           monotonic_time now)
{
    const std::vector<coordinator_candidate> list = current(now);
    const auto isPublished = [&](const coordinator_candidate &each) {
        return std::find(published.begin(), published.end(), each) != published.end();
    };
    const bool unchanged = list.size() == published.size() && std::all_of(list.begin(), list.end(), isPublished);
    if (unchanged) {
        return std::nullopt;
    }
    const bool grew = static_cast<double>(list.size()) >= static_cast<double>(published.size()) * significantGrowthFactor;
    if (m_lastPublished && now - *m_lastPublished < (grew ? minPublishIntervalOnGrowth : minPublishInterval)) {
        return std::nullopt;
    }
    m_lastPublished = now;
    return list;
}

} // namespace sycamoretray
