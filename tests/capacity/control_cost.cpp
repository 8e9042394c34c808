#include "control_cost.h"

#include "controller/controller_actions.h"
#include "server_client/lease_codec.h"
#include "simulated_cluster.h"

#include <ctime>
#include <malloc.h>
#include <stdexcept>

namespace sycamoretray::capacity
{

namespace
{

using harness::cluster_settings;
using harness::instance_host;
using harness::simulated_cluster;

/** Covers the rebalancing after the start, which moves one batch of slots per server at a time. */
constexpr time_span rebalancingTime = std::chrono::seconds(30);
constexpr time_span measuringTime = std::chrono::seconds(5);

struct action_counts {
    std::uint64_t peerBytes = 0;
    std::uint64_t leaseBytes = 0;
    std::uint64_t logReads = 0;
    std::uint64_t appends = 0;
};

struct action_counter {
    action_counts &counts;
    const instance_host &host;

    void operator()(const send_peer &action) const
    {
        counts.peerBytes += action.message.size();
    }

    void operator()(const send_lease &action) const
    {
        counts.leaseBytes += encodeLease(action, host.settings().incarnation).size();
    }

    void operator()(const read_log & /*action*/) const
    {
        ++counts.logReads;
    }

    void operator()(const append_records &action) const
    {
        counts.appends += action.records.size();
    }

    template<class Action>
    void operator()(const Action & /*action*/) const
    {
    }
};

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

control_cost measureControl(std::size_t instances, std::size_t servers, std::uint64_t seed)
{
    action_counts counts;
    cluster_settings settings;
    settings.seed = seed;
    settings.instances = instances;
    settings.tokenServers = servers;
    settings.tokenlessServers = 0;
    settings.observeAction = [&counts](const instance_host &host, const controller_action &action) {
        std::visit(action_counter{ counts, host }, action);
    };
    const auto heapBefore = static_cast<double>(mallinfo2().uordblks);
    simulated_cluster cluster(settings);
    if (!cluster.bootstrap()) {
        throw std::runtime_error("the cluster with " + std::to_string(instances) + " instances and " + std::to_string(servers) + " servers did not start");
    }
    cluster.run(rebalancingTime);
    counts = {};
    const double processorBefore = processorSeconds();
    cluster.run(measuringTime);
    const double processor = processorSeconds() - processorBefore;

    const double seconds = std::chrono::duration<double>(measuringTime).count();
    const auto instanceSeconds = static_cast<double>(instances) * seconds;
    control_cost cost;
    cost.instances = instances;
    cost.servers = servers;
    cost.peerBytesPerSecond = static_cast<double>(counts.peerBytes) / instanceSeconds;
    cost.leaseBytesPerSecond = static_cast<double>(counts.leaseBytes) / instanceSeconds;
    cost.logReadsPerSecond = static_cast<double>(counts.logReads) / instanceSeconds;
    cost.appendsPerSecond = static_cast<double>(counts.appends) / seconds;
    cost.processorShare = processor / instanceSeconds;
    cost.heapBytes = (static_cast<double>(mallinfo2().uordblks) - heapBefore) / static_cast<double>(instances);
    return cost;
}

} // namespace sycamoretray::capacity
