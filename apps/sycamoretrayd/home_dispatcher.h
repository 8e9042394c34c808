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

/** Identifies a forwarded request: its entry instance and the id in the forward table there. */
struct forward_origin {
    incarnation_id entry;
    std::uint64_t forwardId = 0;
};

/** Components and functions that a home dispatcher uses. The functions may be called on any thread and must not block. */
struct home_environment {
    incarnation_id self;
    std::shared_ptr<routing_store> routing;
    /** Sends the result of a request to its entry. */
    std::function<void(const forward_origin &, result_code, const std::shared_ptr<const answer_payload> &)> answer;
    /** Sends deduplication entries to the home of a server; an empty list of slots means all. */
    std::function<void(const server_route &, const std::vector<hash_slot> &, const dispatch_transfer &)> transfer;
    /** Tells all homes of a service about a request that is suspected of crashing its servers. */
    std::function<void(const service_id &, const report_crash &)> reportCrash;
    std::function<void(controller_event)> toController;
};

/**
 * Runs the server_dispatcher and the connections of one server on a strand, at the instance that is the home of the server.
 *
 * Its deduplication entries list the request ids that ran, so that a repeated id does not run again. When slots or the whole server
 * move, the entries of the former owner or home are transferred. Without them, ids from before the move count as unknown.
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

    /** The caller of this request no longer waits for the answer; with @p forwardId 0, no caller of this entry does. */
    void cancel(const incarnation_id &entry, std::uint64_t forwardId);

    /** Sets the time until which this home may dispatch requests under @p term. */
    void setValidUntil(home_term term, monotonic_time validUntil);
    /** Stops dispatching requests for @p slots; the controller is told when none is in flight any more. */
    void hold(operation_id operation, std::vector<hash_slot> slots);
    /** Ends hold(): transfers the deduplication entries of moved slots, and dispatches or refuses the queued requests. */
    void release(std::vector<hash_slot> slots);

    /**
     * Stops accepting requests, refuses the queued ones and sends the deduplication entries to @p newHome unless it is empty.
     * Requests that are running still get their answers.
     */
    void close(const incarnation_id &newHome);

    /** Adds the deduplication entries that the former owner or home of @p slots sent; an empty list of slots means all. */
    void import(std::vector<hash_slot> slots, dispatch_transfer transfer);

    /** The routing table has changed. Older request ids count as unknown for slots that were gained without a transfer. */
    void routingChanged();

    /** Passes on a crash report from this or another home of the service. */
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
    void removePending(const forward_origin &origin, std::unordered_map<dispatch_id, pending_request>::iterator pending);
    void transferAll(const incarnation_id &newHome);
    void transferSlots(const std::vector<hash_slot> &slots);
    void resubmitOrRefuse(std::vector<dispatch_request> requests);
    void applyRouting();
    /** Updates the owned slots and keys from the routing table, and appends the slots that were gained to @p gained. */
    void updateOwnership(const routed_service &routed, std::vector<hash_slot> &gained);
    /** Treats request ids for these slots from before now as unknown: they may have run elsewhere. */
    void markUnknownBeforeNow(const std::vector<hash_slot> &slots);
    /** Treats all request ids for these slots as known, because none can have run before. */
    void markNeverUsed(const std::vector<hash_slot> &slots);
    void initializeNeverUsed(const routed_service &routed);
    void updateAvailability(const routed_service &routed);
    /** Returns whether entries for the slot arrived recently, before the slot was gained; forgets the arrival. */
    bool takeRecentImport(hash_slot slot);
    /** Returns whether the slot was gained recently without entries; forgets the gain. */
    bool takeRecentUnknownGain(hash_slot slot);
    void startTickTimer();
    bool handleTick();

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
    /** Slots that the server owned in the last routing table. */
    std::vector<bool> m_ownedSlots;
    /** When deduplication entries arrived for slots that were not owned yet. */
    std::unordered_map<hash_slot, monotonic_time> m_importTimes;
    /** When slots were gained whose deduplication entries had not arrived yet. */
    std::unordered_map<hash_slot, monotonic_time> m_unknownGainTimes;
    /** Keys with an own entry in the last routing table that named this server. */
    std::set<std::string> m_keysRoutedHere;
    /** Keys in slots of this server with an own entry in the last routing table that named another server. */
    std::set<std::string> m_keysRoutedElsewhere;
    /** Whether the last routing table allowed requests to this server; for services not divided by key. */
    bool m_available = false;
    /** No request can have run before the last routing table: for the service if divided by key, otherwise at this server. */
    bool m_neverUsed = false;
    bool m_closed = false;
    /** The timer for dispatch_tick is running. */
    bool m_ticking = false;
    /** Empty between calls; a member to avoid allocations. */
    std::vector<dispatch_action> m_actions;
    std::atomic<std::uint32_t> m_queued{ 0 };
    std::atomic<std::uint32_t> m_running{ 0 };
};

} // namespace sycamoretray
