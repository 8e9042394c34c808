#include "sycamoretrayd/control_loop.h"

#include "executor/steady_time.h"
#include "observability/event_log.h"

#include <utility>

namespace sycamoretray
{

namespace
{

// The controller allows at most twice this time between two ticks.
constexpr std::uint32_t tickMilliseconds = 10;
constexpr time_span instanceListInterval = std::chrono::milliseconds(500);
constexpr time_span instanceListTimeout = std::chrono::seconds(1);
// Added to the time for which the log may delay the reply to a read while there are no new records.
constexpr time_span logReadTimeoutMargin = std::chrono::seconds(1);

} // namespace

control_loop::control_loop(serial_executor executor, controller_settings controllerSettings, const daemon_settings &settings, control_environment environment)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_controllerSettings(controllerSettings)
    , m_environment(std::move(environment))
    , m_controller(std::move(controllerSettings))
    , m_log(m_executor, settings.logServiceAddress)
    , m_instanceList(m_executor, settings.instanceListAddress)
{
}

control_loop::~control_loop() = default;

void control_loop::start()
{
    m_executor.repeat(tickMilliseconds, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
            return false;
        }
        self->handle(tick{});
        if (steadyNow() >= self->m_nextInstanceListRead) {
            self->m_nextInstanceListRead = steadyNow() + instanceListInterval;
            self->readInstanceList();
        }
        return true;
    });
}

void control_loop::post(controller_event event)
{
    m_executor.dispatch([weak = weak_from_this(), event = std::move(event)] {
        if (const auto self = weak.lock()) {
            self->handle(event);
        }
    });
}

void control_loop::inspect(std::function<void(const controller &)> function)
{
    m_executor.dispatch([self = shared_from_this(), function = std::move(function)] {
        function(self->m_controller);
    });
}

void control_loop::handle(const controller_event &event)
{
    if (std::holds_alternative<stop_requested>(event) && !std::exchange(m_stopping, true) && m_settings.registerWithInstanceList) {
        registerInstance(true);
    }
    for (const controller_action &action : m_controller.handle(event, steadyNow())) {
        execute(action);
    }
}

void control_loop::execute(const controller_action &action)
{
    if (const auto *read = std::get_if<read_log>(&action)) {
        readLog(*read);
    } else if (const auto *append = std::get_if<append_records>(&action)) {
        appendRecords(*append);
    } else if (const auto *send = std::get_if<send_peer>(&action)) {
        m_environment.sendPeer(send->to, send->address, send->message);
    } else if (const auto *lease = std::get_if<send_lease>(&action)) {
        sendLease(*lease);
    } else if (const auto *outcome = std::get_if<publish_outcome>(&action)) {
        m_environment.operationCompleted(*outcome);
    } else if (const auto *event = std::get_if<emit_event>(&action)) {
        logEvent(event->name, event->fields);
    } else if (std::holds_alternative<stop_finished>(action)) {
        m_environment.stopFinished();
    } else {
        m_environment.execute(action);
    }
}

const std::string &control_loop::streamName(log_stream stream) const
{
    return stream == log_stream::control ? m_settings.controlStream : m_settings.snapshotStream;
}

void control_loop::readLog(const read_log &action)
{
    const monotonic_time started = steadyNow();
    m_log.read(streamName(action.stream),
               action.from,
               action.maxRecords,
               action.wait,
               action.wait + logReadTimeoutMargin,
               [weak = weak_from_this(), operation = action.operation, started](log_read_reply reply) {
                   const auto self = weak.lock();
                   if (!self) {
                       return;
                   }
                   log_read_result result;
                   result.operation = operation;
                   result.started = started;
                   if (reply.code != result_code::ok) {
                       result.error = reply.code;
                   }
                   for (stored_record &record : reply.records) {
                       result.entries.push_back({ record.offset, std::move(record.data) });
                   }
                   result.earliest = reply.earliest;
                   result.end = reply.next;
                   self->handle(result);
               });
}

void control_loop::appendRecords(const append_records &action)
{
    const time_span timeout = m_settings.ownership.appendTimeout;
    m_log.append(streamName(action.stream), action.records, timeout, [weak = weak_from_this(), operation = action.operation](const log_append_reply &reply) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        append_result result;
        result.operation = operation;
        if (reply.code != result_code::ok) {
            result.error = reply.code;
        }
        result.first = reply.first;
        self->handle(result);
    });
}

void control_loop::sendLease(const send_lease &action)
{
    auto &[address, client] = m_leaseClients[action.server];
    if (!client || address != action.address) {
        address = action.address;
        client = std::make_unique<lease_client>(m_executor, address, m_controllerSettings.incarnation);
    }
    client->send(action, [weak = weak_from_this(), server = action.server, operation = action.operation](const lease_reply *reply) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (reply != nullptr) {
            self->handle(*reply);
        } else {
            self->handle(lease_failed{ server, operation });
        }
    });
}

void control_loop::readInstanceList()
{
    if (m_settings.registerWithInstanceList && !m_registered && !m_stopping) {
        registerInstance(false);
    }
    m_instanceList.read(instanceListTimeout, [weak = weak_from_this()](const std::optional<std::vector<instance_list_entry>> &entries) {
        const auto self = weak.lock();
        if (!self || !entries) {
            return;
        }
        instance_list_result result;
        for (const instance_list_entry &entry : *entries) {
            result.instances.push_back({ entry.instance, entry.incarnation, entry.peerAddress, entry.leaving });
        }
        self->handle(result);
    });
}

void control_loop::registerInstance(bool leaving)
{
    const instance_list_entry entry{
        m_controllerSettings.instance, m_controllerSettings.incarnation, m_controllerSettings.zone, m_controllerSettings.peerAddress, leaving
    };
    m_instanceList.put(entry, instanceListTimeout, [weak = weak_from_this()](bool accepted) {
        if (const auto self = weak.lock()) {
            self->m_registered = accepted;
        }
    });
}

void control_loop::unregister(std::function<void()> done)
{
    m_executor.dispatch([self = shared_from_this(), done = std::move(done)] {
        if (!self->m_settings.registerWithInstanceList) {
            done();
            return;
        }
        self->m_instanceList.remove(self->m_controllerSettings.instance, instanceListTimeout, [done](bool /*accepted*/) {
            done();
        });
    });
}

} // namespace sycamoretray
