#pragma once

#include "configuration/effective_service.h"
#include "controller/controller_actions.h"
#include "dispatch/hot_key_detector.h"
#include "dispatch/server_dispatcher.h"
#include "executor/serial_executor.h"
#include "server_client/server_client.h"
#include "sycamoretrayd/routing_store.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sycamoretray
{

/** Where a request came from: an entry instance and its id there. */
struct forward_origin {
    incarnation_id entry;
    std::uint64_t forwardId = 0;
};

/** What a home dispatcher needs from the daemon. The functions may be called on any thread and must not block. */
struct home_environment {
    incarnation_id self;
    std::shared_ptr<routing_store> routing;
    /** Passes the outcome to the entry. */
    std::function<void(const forward_origin &, result_code, const std::shared_ptr<const answer_payload> &)> answer;
    /** Passes at-most-once memory to the home of a server; an empty list of slots means all. */
    std::function<void(const server_route &, const std::vector<hash_slot> &, const dispatch_transfer &)> transfer;
    std::function<void(const service_id &, const report_crash &)> crashed;
    std::function<void(controller_event)> toController;
};

/**
 * Runs the server_dispatcher and the connections of one homed server on a strand.
 *
 * Thread safety: any thread.
 */
class home_dispatcher : public std::enable_shared_from_this<home_dispatcher>
{
public:
    home_dispatcher(serial_executor executor, home_environment environment, const open_dispatch &open, const service_id &service, const service_limits &limits);
    ~home_dispatcher();
    home_dispatcher(const home_dispatcher &) = delete;
    home_dispatcher &operator=(const home_dispatcher &) = delete;

    /** Opens connections to the server. */
    void start();

    void submit(const forward_origin &origin, dispatch_request request);

    /** The caller of this request, or the whole entry if @p forwardId is 0, is gone. */
    void cancel(const incarnation_id &entry, std::uint64_t forwardId);

    void setValidUntil(home_term term, monotonic_time validUntil);
    void hold(operation_id operation, std::vector<hash_slot> slots);
    void release(std::vector<hash_slot> slots);

    /** Passes the queue and the memory on to @p newHome unless it is empty. Requests that are running still get their answers. */
    void close(const incarnation_id &newHome);

    void import(std::vector<hash_slot> slots, dispatch_transfer transfer);

    /** The routing table has changed: slots that were gained without a transfer are marked as unknown. */
    void routingChanged();

    void reportCrashes(crashes_reported report);

    /** Calls @p done on the strand with the state as JSON text. */
    void dump(std::function<void(std::string)> done);

    bool dividedByKey() const noexcept
    {
        return m_dividedByKey;
    }

    const server_id &server() const noexcept
    {
        return m_server;
    }

    const service_id &service() const noexcept
    {
        return m_service;
    }

    home_term term() const noexcept
    {
        return m_term;
    }

    std::uint32_t queuedCount() const noexcept
    {
        return m_queued.load(std::memory_order_relaxed);
    }

    std::uint32_t runningCount() const noexcept
    {
        return m_running.load(std::memory_order_relaxed);
    }

private:
    struct pending_request {
        forward_origin origin;
        request_id requestId;
        std::string key;
        hash_slot slot;
        std::shared_ptr<const request_payload> payload;
    };

    void accept(const forward_origin &origin, dispatch_request request);
    bool ownsKey(const std::string &key) const;
    void handle(dispatch_event event);
    void execute(const dispatch_action &action);
    void executeSend(const send_request &send);
    void attemptEnded(dispatch_id id, attempt_result result);
    void executeFinish(const finish_request &finish);
    void finishAs(dispatch_id id, result_code code);
    void forget(const forward_origin &origin, std::unordered_map<dispatch_id, pending_request>::iterator pending);
    void passAllOn(const incarnation_id &newHome);
    void passKeysOn(const std::vector<hash_slot> &slots);
    void resubmitOrRefuse(std::vector<dispatch_request> requests);
    void updateGainedSlots();
    void noteOwnership(const routed_service &routed, std::vector<hash_slot> &gained);
    /** Marks ids for these slots from before now as unknown. */
    void forgetBefore(const std::vector<hash_slot> &slots);
    /** Marks ids for these slots as known from the beginning, because none of them can have run. */
    void knowAlways(const std::vector<hash_slot> &slots);
    void noteFirstUse(const routed_service &routed);
    void noteAvailability(const routed_service &routed);
    bool wasImported(hash_slot slot);
    bool wasForgotten(hash_slot slot);
    void armTick();
    bool onTick();

    serial_executor m_executor;
    home_environment m_environment;
    server_id m_server;
    service_id m_service;
    home_term m_term;
    bool m_dividedByKey = true;
    server_client m_client;
    server_dispatcher m_dispatcher;
    hot_key_detector m_hotKeys;
    monotonic_time m_nextHotKeyReport{};
    std::unordered_map<dispatch_id, pending_request> m_pending;
    std::unordered_map<incarnation_id, std::unordered_map<std::uint64_t, dispatch_id>> m_byOrigin;
    std::uint64_t m_lastId = 0;
    std::optional<operation_id> m_holdOperation;
    /** Slots that the server owned in the last routing table, and when memory arrived for slots that were not owned yet. */
    std::vector<bool> m_ownedSlots;
    std::unordered_map<hash_slot, monotonic_time> m_importedSlots;
    /** When slots were gained whose memory had not arrived yet. */
    std::unordered_map<hash_slot, monotonic_time> m_forgottenSlots;
    /** Hot keys that were served by this server, and those of its slots that were served elsewhere, in the last routing table. */
    std::set<std::string> m_extraKeys;
    std::set<std::string> m_exceptKeys;
    /** Whether entries chose this server in the last routing table; for services not divided by key. */
    bool m_available = false;
    /** Nothing can have run at this server, or for the slots of this service, before the last routing table. */
    bool m_neverUsed = false;
    bool m_closed = false;
    bool m_ticking = false;
    std::vector<dispatch_action> m_actions;
    std::atomic<std::uint32_t> m_queued{ 0 };
    std::atomic<std::uint32_t> m_running{ 0 };
};

} // namespace sycamoretray
