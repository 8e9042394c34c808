#pragma once

#include "controller/controller_actions.h"
#include "sycamoretrayd/entry_router.h"
#include "sycamoretrayd/home_dispatcher.h"
#include "sycamoretrayd/home_registry.h"
#include "sycamoretrayd/peer_directory.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
}

namespace sycamoretray
{

/** Components and functions that the home manager uses. */
struct home_manager_environment {
    incarnation_id self;
    std::shared_ptr<routing_store> routing;
    std::shared_ptr<home_registry> homes;
    std::shared_ptr<peer_directory> peers;
    std::shared_ptr<entry_router> entry;
    /** Sends a serialized pb::PeerMessage. */
    std::function<void(const incarnation_id &, const network_address &, std::string)> send;
    std::function<void(controller_event)> toController;
    /** The set of known peers has changed. */
    std::function<void()> peersChanged;
};

/**
 * Carries out the controller's actions that concern routing and dispatch, and creates the dispatchers of servers that this
 * instance is the home of.
 *
 * Thread safety: execute() is called on the control strand; the rest from any thread.
 */
class home_manager : public std::enable_shared_from_this<home_manager>
{
public:
    home_manager(boost::asio::io_context &workers, home_manager_environment environment);
    ~home_manager();
    home_manager(const home_manager &) = delete;
    home_manager &operator=(const home_manager &) = delete;

    /** Starts sending load reports to all instances. */
    void start();

    /** Carries out routing_changed and the dispatch actions; others are ignored. */
    void execute(const controller_action &action);

private:
    void changeRouting(const std::shared_ptr<const routing_table> &table);
    void open(const open_dispatch &action);
    home_environment environmentForHomes();
    void answer(const forward_origin &origin, result_code code, const std::shared_ptr<const answer_payload> &answer);
    void transfer(const server_route &route, const std::vector<hash_slot> &slots, const dispatch_transfer &transfer);
    void broadcastCrash(const service_id &service, const report_crash &report);
    void reportLoad();
    void broadcast(const std::string &message);

    boost::asio::io_context &m_workers;
    serial_executor m_reportExecutor;
    home_manager_environment m_environment;
    std::atomic<std::uint64_t> m_lastTransfer{ 0 };
};

} // namespace sycamoretray
