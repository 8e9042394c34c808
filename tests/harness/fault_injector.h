#pragma once

#include "simulated_cluster.h"

namespace sycamoretray::harness
{

/**
 * Starts random faults that end after a random time, within what docs/design.md, section 9, says is tolerated.
 *
 * Thread safety: none. Must outlive the run of the cluster.
 */
class fault_injector
{
public:
    explicit fault_injector(simulated_cluster &cluster);

    /** Injects faults for @p duration. */
    void run(time_span duration);

    /** Ends all faults and starts what is down. */
    void heal();

private:
    void injectOne();
    void injectInstanceFault();
    void injectServerFault();
    void injectServerReplacement();
    void injectPartition();
    void injectLogFault();
    void injectOperatorAction();
    void replaceInstance(std::size_t index);
    void blockFor(const std::vector<std::string> &from, const std::vector<std::string> &to, bool bothWays);
    std::vector<std::string> everyoneBut(std::size_t zone) const;
    /** Carries out @p end after a random time; heal() makes it void. */
    void endLater(time_span low, time_span high, std::function<void()> end);
    std::size_t aliveInstances();

    simulated_cluster &m_cluster;
    /** Counts heal() calls: what was scheduled before the last one is void. */
    std::uint64_t m_round = 0;
    monotonic_time m_lastInstanceLoss{};
    std::size_t m_instanceCount = 0;
};

} // namespace sycamoretray::harness
