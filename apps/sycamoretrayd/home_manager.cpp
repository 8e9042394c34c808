#include "sycamoretrayd/home_manager.h"

#include "executor/steady_time.h"
#include "observability/event_log.h"
#include "records.pb.h"
#include "sycamoretrayd/forward_codec.h"

#include <utility>

namespace sycamoretray
{

namespace
{

// Upper bound of the age of the loads by which entries choose between two servers.
constexpr std::uint32_t loadReportMilliseconds = 50;

} // namespace

home_manager::home_manager(boost::asio::io_context &workers, home_manager_environment environment)
    : m_workers(workers)
    , m_reportExecutor(workers)
    , m_environment(std::move(environment))
{
}

home_manager::~home_manager() = default;

void home_manager::start()
{
    m_reportExecutor.repeat(loadReportMilliseconds, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self) {
            self->reportLoad();
        }
        return self != nullptr;
    });
}

void home_manager::execute(const controller_action &action)
{
    home_registry &homes = *m_environment.homes;
    if (const auto *routing = std::get_if<routing_changed>(&action)) {
        changeRouting(routing->table);
    } else if (const auto *opened = std::get_if<open_dispatch>(&action)) {
        open(*opened);
    } else if (const auto *valid = std::get_if<dispatch_valid_until>(&action)) {
        const auto home = homes.find(valid->server);
        if (home && home->term() == valid->term) {
            home->setValidUntil(valid->term, valid->validUntil);
        }
    } else if (const auto *closed = std::get_if<close_dispatch>(&action)) {
        if (const auto home = homes.remove(closed->server)) {
            logEvent("dispatch_closed", { { "server", closed->server.value() }, { "new_home", closed->newHome.value() } });
            home->close(closed->newHome);
        }
    } else if (const auto *held = std::get_if<hold_slots>(&action)) {
        if (const auto home = homes.find(held->server)) {
            home->hold(held->operation, held->slots);
        }
    } else if (const auto *released = std::get_if<release_slots>(&action)) {
        if (const auto home = homes.find(released->server)) {
            home->release(released->slots);
        }
    }
}

void home_manager::changeRouting(const std::shared_ptr<const routing_table> &table)
{
    m_environment.routing->set(table);
    std::map<incarnation_id, network_address> peers = table->peers();
    peers.erase(m_environment.self);
    m_environment.peers->update(peers, steadyNow());
    m_environment.peersChanged();
    for (const auto &home : m_environment.homes->all()) {
        home->routingChanged();
    }
    m_environment.entry->routingChanged();
}

void home_manager::open(const open_dispatch &action)
{
    const std::string &server = action.server.value();
    const service_id service(server.substr(0, server.find('/')));
    const auto table = m_environment.routing->get();
    const routed_service *routed = table->findService(service);
    const service_limits limits = routed == nullptr ? service_limits() : routed->service.limits;
    auto home = std::make_shared<home_dispatcher>(serial_executor(m_workers), environmentForHomes(), action, service, limits);
    home->start();
    logEvent("dispatch_opened", { { "server", server }, { "term", std::to_string(action.term.value()) } });
    if (const auto replaced = m_environment.homes->add(home, steadyNow())) {
        replaced->close({});
    }
}

home_environment home_manager::environmentForHomes()
{
    home_environment environment;
    environment.self = m_environment.self;
    environment.routing = m_environment.routing;
    environment.toController = m_environment.toController;
    environment.answer = [self = shared_from_this()](const forward_origin &origin, result_code code, const std::shared_ptr<const answer_payload> &answer) {
        self->answer(origin, code, answer);
    };
    environment.transfer
        = [self = shared_from_this()](const server_route &route, const std::vector<hash_slot> &slots, const dispatch_transfer &duplicateRecords) {
              self->transfer(route, slots, duplicateRecords);
          };
    environment.reportCrash = [self = shared_from_this()](const service_id &service, const report_crash &report) {
        self->broadcastCrash(service, report);
    };
    return environment;
}

void home_manager::answer(const forward_origin &origin, result_code code, const std::shared_ptr<const answer_payload> &answer)
{
    if (origin.entry == m_environment.self) {
        m_environment.entry->forwardCompleted(origin.forwardId, m_environment.self, code, answer);
    } else if (const auto address = m_environment.peers->addressOf(origin.entry)) {
        m_environment.send(origin.entry, *address, encodeAnswer(origin.forwardId, code, answer.get()));
    }
}

void home_manager::transfer(const server_route &route, const std::vector<hash_slot> &slots, const dispatch_transfer &transfer)
{
    const server_id &server = route.endpoint.server;
    logEvent("memory_passed_on",
             { { "server", server.value() },
               { "to", route.home.value() },
               { "slots", std::to_string(slots.size()) },
               { "entries", std::to_string(transfer.duplicates.size()) } });
    if (route.home == m_environment.self) {
        m_environment.homes->import(server, route.term, slots, transfer, steadyNow());
    } else if (const auto address = m_environment.peers->addressOf(route.home)) {
        const std::uint64_t id = m_lastTransfer.fetch_add(1) + 1;
        for (std::string &message : encodeTransfer(id, server, route.term, slots, transfer)) {
            m_environment.send(route.home, *address, std::move(message));
        }
    }
}

void home_manager::broadcastCrash(const service_id &service, const report_crash &report)
{
    logEvent(event_severity::warning,
             "crash_suspect",
             { { "service", service.value() }, { "fingerprint", std::to_string(report.fingerprint.value()) }, { "crashes", std::to_string(report.crashes) } });
    broadcast(encodeCrashReport(service, report));
    for (const auto &home : m_environment.homes->all()) {
        if (home->service() == service) {
            home->reportCrashes({ report.fingerprint, report.crashes, report.refusedFor });
        }
    }
}

void home_manager::reportLoad()
{
    pb::PeerMessage message;
    for (const auto &home : m_environment.homes->all()) {
        if (home->dividedByKey()) {
            continue;
        }
        pb::LoadReport::ServerLoad &load = *message.mutable_load_report()->add_servers();
        load.set_server(home->server().value());
        load.set_queued(home->queuedCount());
        load.set_running(home->runningCount());
        m_environment.entry->loadReported(home->service(), home->server(), load.queued(), load.running());
    }
    if (message.has_load_report()) {
        broadcast(message.SerializeAsString());
    }
}

void home_manager::broadcast(const std::string &message)
{
    for (const auto &[peer, address] : m_environment.peers->current()) {
        m_environment.send(peer, address, message);
    }
}

} // namespace sycamoretray
