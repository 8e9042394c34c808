#pragma once

#include "controller/controller.h"
#include "executor/serial_executor.h"
#include "log_client/instance_list_client.h"
#include "log_client/log_client.h"
#include "server_client/server_client.h"
#include "settings/daemon_settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sycamoretray
{

/** Functions of the daemon that the control loop calls, on its strand. */
struct control_environment {
    /** Sends a serialized pb::PeerMessage. */
    std::function<void(const incarnation_id &, const network_address &, std::string)> sendPeer;
    /** Carries out the actions that concern routing and dispatch. */
    std::function<void(const controller_action &)> execute;
    /** The outcome of an operation that the administration API requested. */
    std::function<void(const publish_outcome &)> operationCompleted;
    /** The controller has completed its part of the graceful shutdown. */
    std::function<void()> stopFinished;
};

/**
 * Runs the controller on a strand, together with the clients for the log, the instance list and the leases of servers.
 *
 * Thread safety: any thread.
 */
class control_loop : public std::enable_shared_from_this<control_loop>
{
public:
    control_loop(serial_executor executor, controller_settings controllerSettings, const daemon_settings &settings, control_environment environment);
    ~control_loop();
    control_loop(const control_loop &) = delete;
    control_loop &operator=(const control_loop &) = delete;

    void start();

    /** Passes an event to the controller, on the strand. */
    void post(controller_event event);

    /** Calls @p function with the controller, on the strand. */
    void inspect(std::function<void(const controller &)> function);

    /** Removes the instance from the instance list if it registered itself, and calls @p done. */
    void unregister(std::function<void()> done);

private:
    void handle(const controller_event &event);
    void execute(const controller_action &action);
    void readLog(const read_log &action);
    void appendRecords(const append_records &action);
    void sendLease(const send_lease &action);
    void readInstanceList();
    void registerInstance(bool leaving);
    const std::string &streamName(log_stream stream) const;

    serial_executor m_executor;
    daemon_settings m_settings;
    controller_settings m_controllerSettings;
    control_environment m_environment;
    controller m_controller;
    log_client m_log;
    instance_list_client m_instanceList;
    std::map<server_id, std::pair<network_address, std::unique_ptr<lease_client>>> m_leaseClients;
    bool m_stopping = false;
    bool m_registered = false;
    monotonic_time m_nextInstanceListRead{};
};

} // namespace sycamoretray
