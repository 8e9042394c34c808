#include "permits/instance_census.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// A read is held for up to 1 s, and an instance that has lost the connection to the relay retries after 1.5 s.
constexpr time_span unresponsiveTimeout = std::chrono::seconds(5);
constexpr time_span minimumPublishInterval = std::chrono::seconds(4);
// Shorter than minimumPublishInterval, because many instances start together when a site starts.
constexpr time_span minimumPublishIntervalOnGrowth = std::chrono::milliseconds(800);
constexpr double significantGrowthFactor = 1.25;
// With fewer instances in a zone, no permits are requested, and the list is not needed.
constexpr std::size_t minimumInstances = 5;

} // namespace

void instance_census::start(const std::vector<keeper_candidate> &published, monotonic_time now)
{
    m_instances.clear();
    m_lastPublished.reset();
    for (const keeper_candidate &each : published) {
        m_instances[each.address] = { each.weight, now };
    }
}

void instance_census::seen(const network_address &instance, double weight, monotonic_time now)
{
    if (weight <= 0) {
        m_instances.erase(instance);
        return;
    }
    m_instances[instance] = { weight, now };
}

std::vector<keeper_candidate> instance_census::current(monotonic_time now) const
{
    std::vector<keeper_candidate> result;
    for (const auto &[address, instance] : m_instances) {
        if (now - instance.lastSeen < unresponsiveTimeout) {
            result.push_back({ address, instance.weight });
        }
    }
    return result;
}

std::optional<std::vector<keeper_candidate>> instance_census::takeDue(const std::vector<keeper_candidate> &published, monotonic_time now)
{
    const std::vector<keeper_candidate> list = current(now);
    const auto isPublished = [&](const keeper_candidate &each) {
        return std::find(published.begin(), published.end(), each) != published.end();
    };
    const bool unchanged = list.size() == published.size() && std::all_of(list.begin(), list.end(), isPublished);
    if (unchanged || (published.empty() && list.size() < minimumInstances)) {
        return std::nullopt;
    }
    const bool grew = static_cast<double>(list.size()) >= static_cast<double>(published.size()) * significantGrowthFactor;
    if (m_lastPublished && now - *m_lastPublished < (grew ? minimumPublishIntervalOnGrowth : minimumPublishInterval)) {
        return std::nullopt;
    }
    m_lastPublished = now;
    return list;
}

} // namespace sycamoretray
