#pragma once

#include "fake_log.h"
#include "fake_network.h"
#include "fake_server.h"
#include "instance_host.h"
#include "ownership_checker.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamoretray::harness
{

class fake_operators;

struct cluster_settings {
    std::uint64_t seed = 1;
    std::size_t instances = 4;
    /** Endpoints of the service "t.tracking", whose servers check fencing tokens. */
    std::size_t tokenServers = 4;
    /** Endpoints of the service "t.rates", whose servers do not check fencing tokens. */
    std::size_t tokenlessServers = 2;
    /** The rate of each clock lies between 1 / (1 + x) and 1 + x of true time, where (1 + x)^2 = 1 + clockError. */
    double clockError = 0;
    /** Uses only the two extreme clock rates. */
    bool clocksAtBound = false;
    ownership_timing timing;
    controller_test_faults faults;
    /** Called with each action before it is carried out; may be empty. */
    std::function<void(const instance_host &host, const controller_action &action)> observeAction;
    /** Called with each line of the trace; may be empty. */
    std::function<void(const std::string &line)> trace;
};

/** One endpoint and its current boot. */
struct server_host {
    endpoint_definition endpoint;
    std::shared_ptr<fake_server> process;
    bool frozen = false;
    /** Lease requests that are queued for a frozen process. */
    std::deque<std::function<void()>> waiting;
};

/**
 * Simulation of instances with real controllers and a fake log, network, instance list and servers, in virtual time.
 *
 * Thread safety: none.
 */
class simulated_cluster
{
public:
    explicit simulated_cluster(cluster_settings settings);
    ~simulated_cluster();
    simulated_cluster(const simulated_cluster &) = delete;
    simulated_cluster &operator=(const simulated_cluster &) = delete;

    void run(time_span duration);
    /** Runs until @p until returns true, for at most @p limit. Evaluates @p until every 20 ms. */
    void run(time_span limit, const std::function<bool()> &until);

    /** Publishes the template and the first parameter set and waits until every key is served. Returns false if that takes more than 20 s. */
    bool bootstrap();

    /** Starts a new incarnation of instance number @p index; an earlier one that is only paused resumes later. */
    void startInstance(std::size_t index);
    /** Terminates the process of instance number @p index without notice. */
    void killInstance(std::size_t index);
    /** Requests a graceful stop of instance number @p index. */
    void stopInstance(std::size_t index);
    /** Current incarnation, or nullptr. */
    instance_host *instance(std::size_t index);
    const std::vector<std::shared_ptr<instance_host>> &hosts() const;

    void startServer(std::size_t index);
    /** Ends the process of a server. If @p mayResume is set, it is only paused, and may later run what its lease allows. */
    void killServer(std::size_t index, bool mayResume);
    void freezeServer(std::size_t index, bool frozen);
    std::vector<server_host> &servers();

    /** Network names of the instances and servers in zone number @p zone. The log and the instance list are the nodes "log" and "list". */
    std::vector<std::string> nodeNames(std::size_t zone) const;
    static std::string zoneName(std::size_t index);

    event_scheduler &scheduler();
    seeded_random &random();
    fake_log &log();
    fake_network &network();
    ownership_checker &checker();
    fake_operators &operators();
    void trace(const std::string &line) const;

private:
    void perform(instance_host &host, const controller_action &action);
    void performAction(instance_host &host, const read_log &action);
    void performAction(instance_host &host, const append_records &action);
    void performAction(instance_host &host, const send_peer &action);
    void performAction(instance_host &host, const send_lease &action);
    void performAction(instance_host &host, const hold_slots &action);
    void performAction(instance_host &host, const publish_outcome &action);
    void performAction(instance_host &host, const routing_changed &action);
    void performAction(instance_host &host, const stop_finished &action);
    void performAction(instance_host &host, const emit_event &action);
    template<class Action>
    void performAction(instance_host &, const Action &)
    {
    }

    void leaseArrives(server_host &server, const std::shared_ptr<instance_host> &host, const send_lease &request, const std::shared_ptr<bool> &answered);
    void finishLease(const std::shared_ptr<instance_host> &host, const std::shared_ptr<bool> &answered, const controller_event &event);
    void sendTokenlessRequests();
    void deliverInstanceList();
    void recordInstanceList();
    drifting_clock newClock();

    cluster_settings m_settings;
    event_scheduler m_scheduler;
    seeded_random m_random;
    fake_log m_log;
    fake_network m_network;
    ownership_checker m_checker;
    std::unique_ptr<fake_operators> m_operators;
    std::vector<std::shared_ptr<instance_host>> m_hosts;
    std::vector<std::shared_ptr<instance_host>> m_current;
    std::vector<server_host> m_servers;
    std::vector<listed_instance> m_instanceList;
    std::vector<std::pair<monotonic_time, std::vector<listed_instance>>> m_instanceListHistory;
    /** Arrival time of the last request that a home sent to a server that does not check fencing tokens. */
    std::map<std::pair<incarnation_id, server_id>, monotonic_time> m_lastArrival;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_boots = 0;
};

} // namespace sycamoretray::harness
