#include "simulated_cluster.h"

#include "fake_operators.h"
#include "service_monitor.h"

#include <algorithm>
#include <cmath>

namespace sycamoretray::harness
{

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t zoneCount = 3;

std::size_t instanceNumber(const std::string &instanceName)
{
    return std::stoul(instanceName.substr(1));
}

} // namespace

simulated_cluster::simulated_cluster(cluster_settings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_log(m_scheduler, m_random)
    , m_network(m_scheduler, m_random)
    , m_operators(std::make_unique<fake_operators>(*this))
    , m_current(64)
{
    for (std::size_t i = 0; i < m_settings.tokenServers + m_settings.tokenlessServers; ++i) {
        const bool token = i < m_settings.tokenServers;
        server_host server;
        server.endpoint.server = server_id((token ? "t.tracking/e" : "t.rates/e") + std::to_string(i));
        server.endpoint.address = network_address("127.0.0.1:" + std::to_string(7100 + i));
        server.endpoint.zone = availability_zone(zoneName(i % zoneCount));
        server.endpoint.checksTokens = token;
        m_servers.push_back(server);
        startServer(i);
    }
    deliverInstanceList();
    sendTokenlessRequests();
}

simulated_cluster::~simulated_cluster()
{
    // Scheduled functions share ownership of the hosts, so the hosts are terminated to keep them from running.
    for (const auto &host : m_hosts) {
        host->terminate();
    }
}

std::string simulated_cluster::zoneName(std::size_t index)
{
    return "zone-" + std::to_string(index);
}

void simulated_cluster::run(time_span duration)
{
    m_scheduler.runUntil(m_scheduler.now() + duration);
}

void simulated_cluster::run(time_span limit, const std::function<bool()> &until)
{
    const monotonic_time end = m_scheduler.now() + limit;
    while (m_scheduler.now() < end && !until()) {
        run(20ms);
    }
}

drifting_clock simulated_cluster::newClock()
{
    // The rates of two clocks then differ by at most the factor 1 + clockError.
    const double bound = std::sqrt(1 + m_settings.clockError);
    const double exponent = m_settings.clocksAtBound ? (m_random.chance(0.5) ? 1 : -1) : m_random.real(-1, 1);
    return { std::pow(bound, exponent), m_random.span(0s, 1000s) };
}

// ---- instances and servers ----

void simulated_cluster::startInstance(std::size_t index)
{
    controller_settings settings;
    const std::string name = "i" + std::to_string(index);
    std::string number = std::to_string(++m_incarnations);
    settings.instance = instance_id(name);
    settings.incarnation = incarnation_id(name + "#" + std::string(4 - std::min<std::size_t>(4, number.size()), '0') + number);
    settings.zone = availability_zone(zoneName(index % zoneCount));
    settings.peerAddress = network_address("127.0.0.1:" + std::to_string(20000 + m_incarnations));
    settings.callerAddress = network_address("127.0.0.1:" + std::to_string(30000 + m_incarnations));
    settings.adminAddress = network_address("127.0.0.1:" + std::to_string(40000 + m_incarnations));
    settings.timing = m_settings.timing;
    settings.faults = m_settings.faults;
    settings.seed = m_settings.seed + m_incarnations;
    auto host = std::make_shared<instance_host>(m_scheduler, settings, newClock(), [this](instance_host &performer, const controller_action &action) {
        perform(performer, action);
    });
    trace("start " + settings.incarnation.value());
    std::erase_if(m_hosts, [](const auto &each) {
        return !each->alive();
    });
    m_hosts.push_back(host);
    m_current[index] = host;
    std::erase_if(m_instanceList, [&settings](const listed_instance &each) {
        return each.instance == settings.instance;
    });
    m_instanceList.push_back({ settings.instance, settings.incarnation, settings.peerAddress, false });
    recordInstanceList();
    host->start();
}

void simulated_cluster::killInstance(std::size_t index)
{
    if (instance_host *host = instance(index)) {
        trace("kill " + host->settings().incarnation.value());
        host->terminate();
        std::erase_if(m_instanceList, [host](const listed_instance &each) {
            return each.incarnation == host->settings().incarnation;
        });
        recordInstanceList();
        m_current[index] = nullptr;
    }
}

void simulated_cluster::stopInstance(std::size_t index)
{
    if (instance_host *host = instance(index)) {
        trace("stop " + host->settings().incarnation.value());
        for (listed_instance &each : m_instanceList) {
            each.leaving = each.leaving || each.incarnation == host->settings().incarnation;
        }
        recordInstanceList();
        host->deliver(stop_requested{});
    }
}

instance_host *simulated_cluster::instance(std::size_t index)
{
    return m_current[index] && m_current[index]->alive() ? m_current[index].get() : nullptr;
}

const std::vector<std::shared_ptr<instance_host>> &simulated_cluster::hosts() const
{
    return m_hosts;
}

void simulated_cluster::startServer(std::size_t index)
{
    server_host &server = m_servers[index];
    const std::string boot = server.endpoint.server.value() + "@" + std::to_string(++m_boots);
    server.process = std::make_shared<fake_server>(server.endpoint.server, boot, newClock());
    server.frozen = false;
    server.waiting.clear();
    m_checker.addProcess(server.process, server.endpoint.checksTokens);
    trace("server boots " + boot);
}

void simulated_cluster::killServer(std::size_t index, bool mayResume)
{
    server_host &server = m_servers[index];
    if (server.process) {
        trace((mayResume ? "server replaced while paused " : "server killed ") + server.process->bootId());
        if (!mayResume) {
            m_checker.removeProcess(*server.process);
        }
        server.process = nullptr;
        server.waiting.clear();
    }
}

void simulated_cluster::freezeServer(std::size_t index, bool frozen)
{
    server_host &server = m_servers[index];
    trace((frozen ? "freeze " : "unfreeze ") + server.endpoint.server.value());
    server.frozen = frozen;
    while (!frozen && !server.waiting.empty()) {
        const auto next = server.waiting.front();
        server.waiting.pop_front();
        next();
    }
}

std::vector<server_host> &simulated_cluster::servers()
{
    return m_servers;
}

// ---- instance list ----

void simulated_cluster::recordInstanceList()
{
    m_instanceListHistory.emplace_back(m_scheduler.now(), m_instanceList);
}

void simulated_cluster::deliverInstanceList()
{
    for (const auto &host : m_hosts) {
        // The list that an instance sees lags by up to 2 s.
        const monotonic_time visibleTime = m_scheduler.now() - m_random.span(50ms, 2s);
        auto entry = std::find_if(m_instanceListHistory.rbegin(), m_instanceListHistory.rend(), [visibleTime](const auto &each) {
            return each.first <= visibleTime;
        });
        if (entry != m_instanceListHistory.rend() && m_network.connected("list", host->settings().instance.value())) {
            host->deliver(instance_list_result{ entry->second });
        }
    }
    m_scheduler.after(250ms, [this] {
        deliverInstanceList();
    });
}

// ---- actions ----

void simulated_cluster::perform(instance_host &host, const controller_action &action)
{
    if (m_settings.observeAction) {
        m_settings.observeAction(host, action);
    }
    std::visit(
        [this, &host](const auto &each) {
            performAction(host, each);
        },
        action);
}

void simulated_cluster::performAction(instance_host &host, const read_log &action)
{
    const auto self = host.shared_from_this();
    const monotonic_time started = host.localNow();
    const std::string name = host.settings().instance.value();
    m_log.read(
        action,
        [this, name] {
            return m_network.connected(name, "log") && m_network.connected("log", name);
        },
        [self, started, action](log_read_result result) {
            result.started = started;
            result.operation = action.operation;
            self->deliver(result);
        });
}

void simulated_cluster::performAction(instance_host &host, const append_records &action)
{
    const auto self = host.shared_from_this();
    const std::string name = host.settings().instance.value();
    m_log.append(
        action,
        host.settings().timing.appendTimeout,
        [this, name] {
            return m_network.connected(name, "log") && m_network.connected("log", name);
        },
        [self, action](std::error_code error, log_offset first) {
            self->deliver(append_result{ action.operation, error, first });
        });
}

void simulated_cluster::performAction(instance_host &host, const send_peer &action)
{
    const auto receiver = std::find_if(m_hosts.begin(), m_hosts.end(), [&action](const auto &each) {
        return each->settings().incarnation == action.to;
    });
    if (receiver == m_hosts.end()) {
        return;
    }
    const peer_received event{ host.settings().incarnation, action.message };
    m_network.send(
        host.settings().instance.value(),
        (*receiver)->settings().instance.value(),
        [to = *receiver, event] {
            to->deliver(event);
        },
        true);
}

void simulated_cluster::performAction(instance_host &host, const send_lease &action)
{
    const auto self = host.shared_from_this();
    const auto answered = std::make_shared<bool>(false);
    m_scheduler.after(host.clock().trueSpan(action.timeout), [this, self, answered, action] {
        finishLease(self, answered, lease_failed{ action.server, action.operation });
    });
    const auto found = std::find_if(m_servers.begin(), m_servers.end(), [&action](const auto &each) {
        return each.endpoint.server == action.server;
    });
    if (found == m_servers.end()) {
        return;
    }
    const auto index = static_cast<std::size_t>(found - m_servers.begin());
    m_network.send(
        host.settings().instance.value(),
        action.server.value(),
        [this, index, self, action, answered] {
            leaseArrives(m_servers[index], self, action, answered);
        },
        false);
}

void simulated_cluster::leaseArrives(server_host &server,
                                     const std::shared_ptr<instance_host> &host,
                                     const send_lease &request,
                                     const std::shared_ptr<bool> &answered)
{
    if (server.process == nullptr) {
        // The connection is refused.
        finishLease(host, answered, lease_failed{ request.server, request.operation });
        return;
    }
    const auto handle = [this, process = server.process, host, request, answered] {
        const lease_reply reply = process->handleLease(request, m_scheduler.now());
        m_checker.leaseHandled(*process, m_scheduler.now());
        m_network.send(
            request.server.value(),
            host->settings().instance.value(),
            [this, host, answered, reply] {
                finishLease(host, answered, reply);
            },
            false);
    };
    if (server.frozen) {
        server.waiting.emplace_back(handle);
        return;
    }
    handle();
}

void simulated_cluster::finishLease(const std::shared_ptr<instance_host> &host, const std::shared_ptr<bool> &answered, const controller_event &event)
{
    if (!*answered) {
        *answered = true;
        host->deliver(event);
    }
}

void simulated_cluster::performAction(instance_host &host, const hold_slots &action)
{
    // A dispatcher reports that it is idle only after the requests that it has sent have arrived.
    const time_span inFlight = m_lastArrival[{ host.settings().incarnation, action.server }] - m_scheduler.now();
    m_scheduler.after(std::max(inFlight, time_span(0)) + m_random.span(100us, 4ms), [self = host.shared_from_this(), action] {
        self->deliver(dispatch_idle{ action.server, action.operation });
    });
}

void simulated_cluster::performAction(instance_host &host, const routing_changed & /*action*/)
{
    const std::uint64_t value = service_monitor::valueInForce(host);
    if (value != 0) {
        m_checker.configurationInForce(host.settings().incarnation.value(), value, m_scheduler.now());
    }
}

void simulated_cluster::performAction(instance_host &host, const stop_finished & /*action*/)
{
    trace("stopped " + host.settings().incarnation.value());
    const std::size_t index = instanceNumber(host.settings().instance.value());
    if (m_current[index].get() == &host) {
        killInstance(index);
    } else {
        host.terminate();
    }
}

void simulated_cluster::performAction(instance_host &host, const emit_event &action)
{
    if (!m_settings.trace) {
        return;
    }
    std::string line = host.settings().incarnation.value() + " " + action.name;
    for (const auto &[key, value] : action.fields) {
        line += " " + key + "=" + value;
    }
    trace(line);
}

/** Sends requests from homes to servers that do not check fencing tokens, so that the checker sees which server runs which slots. */
void simulated_cluster::sendTokenlessRequests()
{
    for (const auto &host : m_hosts) {
        for (const auto &[server, state] : host->dispatches()) {
            if (!host->alive() || host->paused() || state.endpoint.checksTokens || state.validUntil <= host->localNow()) {
                continue;
            }
            const slot_set slots = host->slotsOf(server) & ~state.held;
            const auto target = std::find_if(m_servers.begin(), m_servers.end(), [id = server](const auto &each) {
                return each.endpoint.server == id;
            });
            const auto deliver = [this, slots, target] {
                if (target->process && !target->frozen) {
                    m_checker.requestsExecuted(target->endpoint.server, slots, m_scheduler.now());
                }
            };
            if (slots.any()) {
                const time_span delay = m_network.send(host->settings().instance.value(), server.value(), deliver, false);
                monotonic_time &arrival = m_lastArrival[{ host->settings().incarnation, server }];
                arrival = std::max(arrival, m_scheduler.now() + delay);
            }
        }
    }
    m_scheduler.after(10ms, [this] {
        sendTokenlessRequests();
    });
}

void simulated_cluster::performAction(instance_host &host, const publish_outcome &action)
{
    m_operators->handleOutcome(host, action);
}

bool simulated_cluster::bootstrap()
{
    for (std::size_t i = 0; i < m_settings.instances; ++i) {
        startInstance(i);
    }
    run(1s);
    for (int attempt = 0; attempt < 5 && m_operators->acknowledgedValue() == 0; ++attempt) {
        m_operators->publishTemplate();
        run(2s);
        m_operators->publishParameters(0);
        run(2s, [this] {
            return m_operators->acknowledgedValue() != 0;
        });
    }
    const service_monitor monitor(*this);
    run(20s, [&monitor] {
        return monitor.unservedSlots() == 0;
    });
    return monitor.unservedSlots() == 0;
}

fake_operators &simulated_cluster::operators()
{
    return *m_operators;
}

std::vector<std::string> simulated_cluster::nodeNames(std::size_t zone) const
{
    std::vector<std::string> names;
    for (std::size_t i = zone; i < m_current.size(); i += zoneCount) {
        if (m_current[i]) {
            names.push_back("i" + std::to_string(i));
        }
    }
    for (const server_host &server : m_servers) {
        if (server.endpoint.zone.value() == zoneName(zone)) {
            names.push_back(server.endpoint.server.value());
        }
    }
    return names;
}

event_scheduler &simulated_cluster::scheduler()
{
    return m_scheduler;
}

seeded_random &simulated_cluster::random()
{
    return m_random;
}

fake_log &simulated_cluster::log()
{
    return m_log;
}

fake_network &simulated_cluster::network()
{
    return m_network;
}

ownership_checker &simulated_cluster::checker()
{
    return m_checker;
}

void simulated_cluster::trace(const std::string &line) const
{
    if (m_settings.trace) {
        m_settings.trace(std::to_string(m_scheduler.now().time_since_epoch().count() / 1000) + " " + line);
    }
}

} // namespace sycamoretray::harness
