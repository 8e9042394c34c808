#pragma once

#include "simulated_cluster.h"

namespace sycamoretray::harness
{

/**
 * Injects random faults that end after a random time. All are faults that the design tolerates (docs/design.md, section 9).
 *
 * Thread safety: none. Must outlive the run of the cluster.
 */
class fault_injector
{
public:
    explicit fault_injector(simulated_cluster &cluster);

    /** Injects faults for @p duration. */
    void run(time_span duration);

    /** Ends all faults and restarts all instances and servers that are down. */
    void heal();

private:
    void injectRandomFault();
    void injectInstanceFault();
    void injectServerFault();
    void injectServerReplacement();
    void injectPartition();
    void injectLogFault();
    void injectOperatorAction();
    /** Starts a new incarnation after a random time, unless one runs by then. */
    void replaceInstance(std::size_t index);
    /** Drops the messages from @p from to @p to, and back if @p bothWays is set, for a random time. */
    void blockTemporarily(const std::vector<std::string> &from, const std::vector<std::string> &to, bool bothWays);
    /** Log, instance list and all nodes outside zone number @p zone; all nodes if there is no such zone. */
    std::vector<std::string> nodesOutsideZone(std::size_t zone) const;
    /** Runs @p end, which ends a fault, after a random time from @p low to @p high, unless heal() is called before. */
    void scheduleEnd(time_span low, time_span high, std::function<void()> end);
    std::size_t aliveInstances();

    simulated_cluster &m_cluster;
    /** Incremented by heal(), which cancels everything that was scheduled before. */
    std::uint64_t m_faultGeneration = 0;
    monotonic_time m_lastInstanceLoss{};
    std::size_t m_instanceCount = 0;
};

} // namespace sycamoretray::harness
