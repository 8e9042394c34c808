#include "fault_injector.h"

#include "fake_operators.h"

#include <algorithm>

namespace sycamoretray::harness
{

using namespace std::chrono_literals;

namespace
{

// Losing a second confirmer before the first one is replaced requires an operator (docs/design.md, section 9).
constexpr time_span instanceLossInterval = 6s;

} // namespace

fault_injector::fault_injector(simulated_cluster &cluster)
    : m_cluster(cluster)
{
    while (m_cluster.instance(m_instanceCount) != nullptr) {
        ++m_instanceCount;
    }
}

void fault_injector::run(time_span duration)
{
    const monotonic_time end = m_cluster.scheduler().now() + duration;
    while (m_cluster.scheduler().now() < end) {
        injectRandomFault();
        if (m_cluster.random().chance(0.7)) {
            m_cluster.run(m_cluster.random().span(1ms, 1500ms));
        }
        m_cluster.log().expire();
    }
}

void fault_injector::injectRandomFault()
{
    const double kind = m_cluster.random().real(0, 1);
    if (kind < 0.25) {
        injectInstanceFault();
    } else if (kind < 0.45) {
        injectServerFault();
    } else if (kind < 0.55) {
        injectServerReplacement();
    } else if (kind < 0.7) {
        injectPartition();
    } else if (kind < 0.88) {
        injectLogFault();
    } else {
        injectOperatorAction();
    }
}

void fault_injector::scheduleEnd(time_span low, time_span high, std::function<void()> end)
{
    m_cluster.scheduler().after(m_cluster.random().span(low, high), [this, generation = m_faultGeneration, end = std::move(end)] {
        if (generation == m_faultGeneration) {
            end();
        }
    });
}

std::size_t fault_injector::aliveInstances()
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_instanceCount; ++i) {
        count += m_cluster.instance(i) != nullptr ? 1 : 0;
    }
    return count;
}

void fault_injector::replaceInstance(std::size_t index)
{
    scheduleEnd(0s, 3s, [this, index] {
        if (m_cluster.instance(index) == nullptr) {
            m_cluster.startInstance(index);
        }
    });
}

void fault_injector::injectInstanceFault()
{
    seeded_random &random = m_cluster.random();
    const std::size_t index = random.below(m_instanceCount);
    instance_host *host = m_cluster.instance(index);
    if (host == nullptr) {
        return;
    }
    const double kind = random.real(0, 1);
    if (kind < 0.5) {
        m_cluster.trace("pause " + host->settings().incarnation.value());
        const bool beforeNextAction = random.chance(0.6);
        const time_span duration = random.chance(0.5) ? random.span(20ms, 500ms) : random.span(500ms, 3s);
        host->pauseFor(duration, beforeNextAction);
        return;
    }
    if (aliveInstances() < 3 || m_cluster.scheduler().now() - m_lastInstanceLoss < instanceLossInterval) {
        return;
    }
    m_lastInstanceLoss = m_cluster.scheduler().now();
    if (kind < 0.7) {
        m_cluster.killInstance(index);
        replaceInstance(index);
    } else if (kind < 0.85) {
        // The platform replaces a process that is only paused; the old process resumes later.
        const bool beforeNextAction = random.chance(0.5);
        host->pauseFor(random.span(200ms, 4s), beforeNextAction);
        m_cluster.startInstance(index);
    } else {
        m_cluster.stopInstance(index);
        replaceInstance(index);
        scheduleEnd(3s, 5s, [this, index] {
            if (m_cluster.instance(index) == nullptr) {
                m_cluster.startInstance(index);
            }
        });
    }
}

void fault_injector::injectServerFault()
{
    seeded_random &random = m_cluster.random();
    const std::size_t index = random.below(m_cluster.servers().size());
    server_host &server = m_cluster.servers()[index];
    if (!server.process) {
        return;
    }
    const double kind = random.real(0, 1);
    if (kind < 0.4) {
        m_cluster.freezeServer(index, true);
        scheduleEnd(20ms, 2s, [this, index] {
            m_cluster.freezeServer(index, false);
        });
        return;
    }
    // A server that does not check tokens runs, after a pause, the requests that it was sent before; no ownership rule prevents that.
    m_cluster.killServer(index, kind < 0.7 && server.endpoint.checksTokens);
    scheduleEnd(0s, random.chance(0.5) ? 50ms : 5s, [this, index] {
        if (!m_cluster.servers()[index].process) {
            m_cluster.startServer(index);
        }
    });
}

/**
 * Replaces a paused server, either at once or while its home is partitioned from the log, the instance list and the other
 * instances and is being taken over.
 */
void fault_injector::injectServerReplacement()
{
    seeded_random &random = m_cluster.random();
    const std::size_t index = random.below(m_cluster.servers().size());
    if (!m_cluster.servers()[index].endpoint.checksTokens) {
        return;
    }
    time_span delay{};
    for (const auto &host : m_cluster.hosts()) {
        if (host->alive() && host->dispatches().contains(m_cluster.servers()[index].endpoint.server) && random.chance(0.5)) {
            const std::string home = host->settings().instance.value();
            std::vector<std::string> others{ "log", "list" };
            for (std::size_t i = 0; i < m_instanceCount; ++i) {
                others.push_back("i" + std::to_string(i));
            }
            std::erase(others, home);
            m_cluster.trace("cut off " + home + " from the log and all instances");
            blockTemporarily({ home }, others, true);
            // Suspicion and claim take about 0.5 s, and the last lease expires 0.7 s after the start of the partition.
            delay = random.span(400ms, 700ms);
        }
    }
    m_cluster.scheduler().after(delay, [this, index, generation = m_faultGeneration] {
        if (generation == m_faultGeneration && m_cluster.servers()[index].process) {
            m_cluster.killServer(index, true);
            m_cluster.startServer(index);
        }
    });
}

std::vector<std::string> fault_injector::nodesOutsideZone(std::size_t zone) const
{
    std::vector<std::string> names{ "log", "list" };
    for (std::size_t other = 0; other < 3; ++other) {
        if (other != zone) {
            const std::vector<std::string> nodes = m_cluster.nodeNames(other);
            names.insert(names.end(), nodes.begin(), nodes.end());
        }
    }
    return names;
}

void fault_injector::blockTemporarily(const std::vector<std::string> &from, const std::vector<std::string> &to, bool bothWays)
{
    std::vector<std::pair<std::string, std::string>> pairs;
    for (const std::string &a : from) {
        for (const std::string &b : to) {
            pairs.emplace_back(a, b);
            if (bothWays) {
                pairs.emplace_back(b, a);
            }
        }
    }
    for (const auto &[a, b] : pairs) {
        m_cluster.network().block(a, b);
    }
    scheduleEnd(50ms, 4s, [this, pairs] {
        m_cluster.trace("partition ends");
        for (const auto &[a, b] : pairs) {
            m_cluster.network().unblock(a, b);
        }
    });
}

void fault_injector::injectPartition()
{
    seeded_random &random = m_cluster.random();
    const std::size_t zone = random.below(3);
    const bool bothWays = random.chance(0.6);
    const std::string instance = "i" + std::to_string(random.below(m_instanceCount));
    const double kind = random.real(0, 1);
    const std::string ways = bothWays ? " both ways" : " one way";
    if (kind < 0.25) {
        m_cluster.trace("cut off zone " + std::to_string(zone) + ways);
        blockTemporarily(m_cluster.nodeNames(zone), nodesOutsideZone(zone), bothWays);
    } else if (kind < 0.5) {
        m_cluster.trace("cut off " + instance + ways);
        std::vector<std::string> others = nodesOutsideZone(3);
        std::erase(others, instance);
        blockTemporarily({ instance }, others, bothWays);
    } else if (kind < 0.7) {
        m_cluster.trace("cut off the log from zone " + std::to_string(zone));
        blockTemporarily(m_cluster.nodeNames(zone), { "log" }, bothWays);
    } else if (kind < 0.85) {
        const std::string server = m_cluster.servers()[random.below(m_cluster.servers().size())].endpoint.server.value();
        m_cluster.trace("cut off " + instance + " from " + server + ways);
        blockTemporarily({ instance }, { server }, bothWays);
    } else {
        m_cluster.trace("network drops, duplicates and delays messages");
        m_cluster.network().faults() = { random.real(0, 0.3), random.real(0, 0.3), random.span(0ms, 150ms) };
        scheduleEnd(100ms, 3s, [this] {
            m_cluster.network().faults() = {};
        });
    }
}

void fault_injector::injectLogFault()
{
    seeded_random &random = m_cluster.random();
    log_faults &faults = m_cluster.log().faults();
    const double kind = random.real(0, 1);
    if (kind < 0.4) {
        m_cluster.trace("log outage");
        faults.outage = true;
    } else if (kind < 0.6) {
        m_cluster.trace("slow log");
        faults.extraLatency = random.span(20ms, 800ms);
    } else if (kind < 0.8) {
        m_cluster.trace("log loses replies");
        faults.lostReply = 0.5;
    } else {
        m_cluster.trace("appends take effect late");
        faults.lateEffect = 0.5;
    }
    scheduleEnd(100ms, 3s, [this, retention = faults.retention] {
        m_cluster.trace("log recovers");
        m_cluster.log().faults() = {};
        m_cluster.log().faults().retention = retention;
    });
}

void fault_injector::injectOperatorAction()
{
    seeded_random &random = m_cluster.random();
    if (random.chance(0.7)) {
        m_cluster.operators().publishParameters(0);
        if (random.chance(0.5)) {
            m_cluster.operators().publishParameters(1);
        }
        return;
    }
    const std::size_t index = random.below(m_cluster.servers().size());
    m_cluster.operators().requestDrain(index, true);
    scheduleEnd(1s, 5s, [this, index] {
        m_cluster.operators().requestDrain(index, false);
    });
}

void fault_injector::heal()
{
    m_cluster.trace("all faults end");
    ++m_faultGeneration;
    const time_span retention = m_cluster.log().faults().retention;
    m_cluster.network().heal();
    m_cluster.log().faults() = {};
    m_cluster.log().faults().retention = retention;
    for (std::size_t i = 0; i < m_cluster.servers().size(); ++i) {
        if (!m_cluster.servers()[i].process) {
            m_cluster.startServer(i);
        }
        if (m_cluster.servers()[i].frozen) {
            m_cluster.freezeServer(i, false);
        }
        m_cluster.operators().requestDrain(i, false);
    }
    for (std::size_t i = 0; i < m_instanceCount; ++i) {
        if (m_cluster.instance(i) == nullptr) {
            m_cluster.startInstance(i);
        }
    }
}

} // namespace sycamoretray::harness
