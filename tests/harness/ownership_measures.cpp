#include "ownership_measures.h"

#include "fake_operators.h"
#include "service_monitor.h"

#include <algorithm>
#include <iostream>
#include <stdexcept>

namespace sycamoretray::harness
{

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t instanceCount = 8;
constexpr std::size_t serverCount = 20;
constexpr auto measuredService = "t.tracking";

std::unique_ptr<simulated_cluster> startCluster(std::uint64_t seed)
{
    cluster_settings settings;
    settings.seed = seed;
    settings.instances = instanceCount;
    settings.tokenServers = serverCount;
    settings.tokenlessServers = 0;
    settings.clockError = 0.05;
    auto cluster = std::make_unique<simulated_cluster>(settings);
    if (!cluster->bootstrap()) {
        throw std::runtime_error("seed " + std::to_string(seed) + ": not every key is served after the start");
    }
    // Waits until the planned handovers after the start are done, which no measure includes.
    cluster->run(20s);
    return cluster;
}

const instance_host &anyHost(const simulated_cluster &cluster)
{
    const auto found = std::find_if(cluster.hosts().begin(), cluster.hosts().end(), [](const auto &host) {
        return host->alive() && host->acceptsCallers();
    });
    if (found == cluster.hosts().end()) {
        throw std::runtime_error("no instance accepts callers");
    }
    return **found;
}

std::vector<std::string> ownersNow(const simulated_cluster &cluster)
{
    std::vector<std::string> owners(hashSlotCount);
    const routed_service *service = anyHost(cluster).table()->findService(service_id(measuredService));
    for (std::size_t slot = 0; slot < owners.size(); ++slot) {
        if (service->slotOwner[slot] != routed_service::noOwner) {
            owners[slot] = service->servers[service->slotOwner[slot]].endpoint.server.value();
        }
    }
    return owners;
}

std::size_t slotsOfServer(const simulated_cluster &cluster, std::size_t server)
{
    const std::vector<std::string> owners = ownersNow(cluster);
    return static_cast<std::size_t>(std::count(owners.begin(), owners.end(), "t.tracking/e" + std::to_string(server)));
}

/** Number of the instance that is home of server number @p server. */
std::size_t homeOf(const simulated_cluster &cluster, std::size_t server)
{
    for (const server_route &route : anyHost(cluster).table()->findService(service_id(measuredService))->servers) {
        if (route.endpoint.server.value() == "t.tracking/e" + std::to_string(server) && !route.home.value().empty()) {
            return std::stoul(route.home.value().substr(1));
        }
    }
    throw std::runtime_error("a server has no home");
}

} // namespace

void ownership_measures::run(std::uint64_t seed)
{
    measureLosses(seed, false);
    measureLosses(seed, true);
    measurePlannedChanges(seed);
    measureChurn(seed);
    measureAppends(seed);
    measureConfiguration(seed);
}

const std::vector<double> &ownership_measures::samples(const std::string &measure) const
{
    static const std::vector<double> nothing;
    const auto found = m_samples.find(measure);
    return found == m_samples.end() ? nothing : found->second;
}

double ownership_measures::quantile(const std::string &measure, double quantile) const
{
    std::vector<double> sorted = samples(measure);
    std::sort(sorted.begin(), sorted.end());
    return sorted.at(std::min(sorted.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()))));
}

double ownership_measures::maximum(const std::string &measure) const
{
    return quantile(measure, 1);
}

void ownership_measures::add(const std::string &measure, double value)
{
    m_samples[measure].push_back(value);
}

void ownership_measures::addViolations(simulated_cluster &cluster)
{
    for (const std::string &violation : cluster.checker().violations()) {
        std::cerr << violation << "\n";
    }
    add("runs with a violation", cluster.checker().violations().empty() ? 0 : 1);
}

void ownership_measures::addUnservedTimes(simulated_cluster &cluster, const std::string &measure, time_span step, time_span limit)
{
    const service_monitor monitor(cluster);
    std::vector<std::uint32_t> unservedSteps(hashSlotCount, 0);
    const monotonic_time end = cluster.scheduler().now() + limit;
    monotonic_time lastUnserved = cluster.scheduler().now();
    while (cluster.scheduler().now() < end && cluster.scheduler().now() - lastUnserved < 1500ms) {
        const slot_set unserved = ~monitor.servedEverywhere(measuredService);
        for (std::size_t slot = unserved._Find_first(); slot < unserved.size(); slot = unserved._Find_next(slot)) {
            unservedSteps[slot] += 1;
            lastUnserved = cluster.scheduler().now();
        }
        cluster.run(step);
    }
    bool affected = false;
    for (const std::uint32_t steps : unservedSteps) {
        if (steps > 0) {
            affected = true;
            add(measure, static_cast<double>(steps) * static_cast<double>(step.count()) / 1000);
        }
    }
    if (!affected) {
        add(measure, 0);
    }
}

void ownership_measures::measureLosses(std::uint64_t seed, bool logOut)
{
    const std::string suffix = logOut ? ", log out for 5 s" : "";
    for (const std::string lost : { "server", "home", "server and home" }) {
        const auto cluster = startCluster(seed);
        const std::size_t server = cluster->random().below(serverCount);
        const std::size_t home = homeOf(*cluster, server);
        if (logOut) {
            cluster->log().faults().outage = true;
            cluster->scheduler().after(5s, [&cluster] {
                cluster->log().faults().outage = false;
            });
            cluster->run(500ms);
        }
        if (lost != "home") {
            cluster->killServer(server, false);
        }
        if (lost != "server") {
            cluster->killInstance(home);
        }
        addUnservedTimes(*cluster, "unserved time after loss of a " + lost + suffix, 5ms, 20s);
        addViolations(*cluster);
    }
}

void ownership_measures::measurePlannedChanges(std::uint64_t seed)
{
    const auto cluster = startCluster(seed);
    const std::size_t server = cluster->random().below(serverCount);
    cluster->operators().requestDrain(server, true);
    addUnservedTimes(*cluster, "unserved time of a planned move", 1ms, 20s);
    cluster->operators().requestDrain(server, false);
    cluster->run(10s);
    cluster->stopInstance(cluster->random().below(instanceCount));
    addUnservedTimes(*cluster, "unserved time of a planned stop", 1ms, 20s);
    addViolations(*cluster);
}

std::size_t ownership_measures::movedSlots(simulated_cluster &cluster, time_span duration)
{
    std::size_t moved = 0;
    std::vector<std::string> before = ownersNow(cluster);
    const monotonic_time end = cluster.scheduler().now() + duration;
    while (cluster.scheduler().now() < end) {
        cluster.run(5ms);
        const std::vector<std::string> now = ownersNow(cluster);
        for (std::size_t slot = 0; slot < now.size(); ++slot) {
            moved += !now[slot].empty() && now[slot] != before[slot] ? 1 : 0;
        }
        before = now;
    }
    return moved;
}

void ownership_measures::measureChurn(std::uint64_t seed)
{
    const auto cluster = startCluster(seed);
    const std::size_t server = cluster->random().below(serverCount);
    const auto ratio = [](std::size_t moved, std::size_t minimum) {
        return static_cast<double>(moved) / static_cast<double>(std::max<std::size_t>(1, minimum));
    };
    const std::size_t owned = slotsOfServer(*cluster, server);
    cluster->killServer(server, false);
    add("keys moved on loss", ratio(movedSlots(*cluster, 5s), owned));
    cluster->startServer(server);
    add("keys moved on join", ratio(movedSlots(*cluster, 15s), hashSlotCount / serverCount));
    const std::size_t ownedAgain = slotsOfServer(*cluster, server);
    cluster->operators().requestDrain(server, true);
    add("keys moved on leave", ratio(movedSlots(*cluster, 10s), ownedAgain));

    std::size_t moved = 0;
    for (int i = 0; i < 10; ++i) {
        // Transient failures: a server stalls for less than the time after which it is declared lost, and an instance loses its
        // connection to the instance list.
        const std::size_t stalled = cluster->random().below(serverCount);
        cluster->freezeServer(stalled, true);
        cluster->network().block("list", "i" + std::to_string(i % instanceCount));
        moved += movedSlots(*cluster, 300ms);
        cluster->freezeServer(stalled, false);
        cluster->network().unblock("list", "i" + std::to_string(i % instanceCount));
        moved += movedSlots(*cluster, 500ms);
    }
    add("keys moved by flickering reports", static_cast<double>(moved));
    const std::size_t restarted = cluster->random().below(instanceCount);
    cluster->killInstance(restarted);
    moved = movedSlots(*cluster, 1s);
    cluster->startInstance(restarted);
    add("keys moved by one instance's restart", static_cast<double>(moved + movedSlots(*cluster, 10s)));
    addViolations(*cluster);
}

double ownership_measures::peakAppendRate(simulated_cluster &cluster, time_span duration)
{
    std::uint64_t peak = 0;
    for (time_span done{}; done < duration; done += 1s) {
        const std::uint64_t before = cluster.log().appendCount();
        cluster.run(1s);
        peak = std::max(peak, cluster.log().appendCount() - before);
    }
    return static_cast<double>(peak);
}

void ownership_measures::measureAppends(std::uint64_t seed)
{
    const auto cluster = startCluster(seed);
    add("appends, steady", peakAppendRate(*cluster, 30s));
    for (std::size_t i = 0; i < serverCount; i += 3) {
        cluster->killServer(i, false);
    }
    for (std::size_t i = 0; i < instanceCount; i += 3) {
        cluster->killInstance(i);
    }
    add("appends, zone lost", peakAppendRate(*cluster, 10s));
    for (std::size_t i = 0; i < serverCount; i += 3) {
        cluster->startServer(i);
    }
    for (std::size_t i = 0; i < instanceCount; i += 3) {
        cluster->startInstance(i);
    }
    cluster->run(30s);
    double peak = 0;
    for (std::size_t i = 0; i < instanceCount; ++i) {
        cluster->stopInstance(i);
        peak = std::max(peak, peakAppendRate(*cluster, 5s));
        cluster->startInstance(i);
        peak = std::max(peak, peakAppendRate(*cluster, 10s));
    }
    add("appends, all instances replaced in turn", peak);
    addViolations(*cluster);
}

void ownership_measures::measureConfiguration(std::uint64_t seed)
{
    const auto cluster = startCluster(seed);
    for (int i = 0; i < 10; ++i) {
        const std::uint64_t before = cluster->operators().acknowledgedValue();
        const monotonic_time started = cluster->scheduler().now();
        cluster->operators().publishParameters(0);
        const auto inForce = [&cluster, before] {
            return std::all_of(cluster->hosts().begin(), cluster->hosts().end(), [before](const auto &host) {
                return !host->alive() || service_monitor::valueInForce(*host) > before;
            });
        };
        cluster->run(10s, inForce);
        add("configuration in force everywhere", std::chrono::duration<double>(cluster->scheduler().now() - started).count());
        cluster->run(500ms);
    }
    // Corresponds to the number of records from one day of configuration changes.
    for (int i = 0; i < 2100; ++i) {
        cluster->operators().publishParameters(0);
        cluster->run(30ms);
    }
    const monotonic_time started = cluster->scheduler().now();
    cluster->startInstance(instanceCount);
    cluster->run(20s, [&cluster] {
        return cluster->instance(instanceCount)->acceptsCallers();
    });
    add("start of a new instance", std::chrono::duration<double>(cluster->scheduler().now() - started).count());
}

} // namespace sycamoretray::harness
