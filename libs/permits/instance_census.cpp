#include "permits/instance_census.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

// Reads are held for a second; an instance that lost the relay for a moment comes back after a pause of 1.5 s.
constexpr time_span silenceLimit = std::chrono::seconds(5);
constexpr time_span usualInterval = std::chrono::seconds(4);
// Many instances start at once with a site.
constexpr time_span growthInterval = std::chrono::milliseconds(800);
constexpr double worthwhileGrowth = 1.25;
// With so few instances in a zone, nobody asks for permits.
constexpr std::size_t leastInstances = 5;

} // namespace

void instance_census::start(const std::vector<keeper_candidate> &published, monotonic_time now)
{
    m_instances.clear();
    m_published.reset();
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
        if (now - instance.seen < silenceLimit) {
            result.push_back({ address, instance.weight });
        }
    }
    return result;
}

std::optional<std::vector<keeper_candidate>> instance_census::takeDue(const std::vector<keeper_candidate> &published, monotonic_time now)
{
    const std::vector<keeper_candidate> list = current(now);
    const auto isListed = [&](const keeper_candidate &each) {
        return std::find(published.begin(), published.end(), each) != published.end();
    };
    const bool same = list.size() == published.size() && std::all_of(list.begin(), list.end(), isListed);
    if (same || (published.empty() && list.size() < leastInstances)) {
        return std::nullopt;
    }
    const bool grew = static_cast<double>(list.size()) >= static_cast<double>(published.size()) * worthwhileGrowth;
    if (m_published && now - *m_published < (grew ? growthInterval : usualInterval)) {
        return std::nullopt;
    }
    m_published = now;
    return list;
}

} // namespace sycamoretray
