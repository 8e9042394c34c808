#pragma once

#include "dispatch/crash_suspects.h"
#include "dispatch/deduplication_table.h"
#include "dispatch/pending_pool.h"
#include "dispatch/request_backlog.h"
#include "dispatch/retry_budget.h"
#include "dispatch/run_time_table.h"
#include "dispatch/server_dispatcher.h"
#include "dispatch/transfer_wait_list.h"
#include "dispatch/worker_slots.h"

#include <random>

namespace sycamoretray
{

/** State of a server_dispatcher and the interaction of its components. */
struct server_dispatcher::impl {
    using action_list = std::vector<dispatch_action>;

    impl(const dispatcher_settings &settings, wall_time startedAt);
    ~impl();

    // Events. Each appends to the current action list.
    void on(dispatch_request &&request);
    void on(server_answered &&event);
    void on(server_refused &&event);
    void on(attempt_failed &&event);
    void on(caller_disconnected &&event);
    void on(valid_until_changed &&event);
    void on(slots_held &&event);
    void on(slots_released &&event);
    void on(crashes_reported &&event);
    void on(dispatch_tick &&event);

    /** Handles expired deadlines, ended waits and due retries. */
    void processDue();
    /** Sends requests while the lease is valid and worker slots are free. */
    void dispatch();

    /** Expected queue delay of a request of the class; if @p customer is given, under its fair share. */
    time_span expectedDelay(std::uint32_t requestClass, const customer_id *customer) const;

    // Admission.
    bool refuseExpiredOrSuspect(const dispatch_request &request);
    bool refuseForDelay(const dispatch_request &request);
    bool exceedsFairShare(const dispatch_request &request) const;
    bool evictForSpace(const dispatch_request &request);
    bool handleDuplicate(dispatch_request &request);
    /** True if the deduplication entries of the slot's former home, which may contain the id, are still expected. */
    bool mayArriveByTransfer(const dispatch_request &request, const duplicate_lookup &found) const;
    /** Answers a request that is not in the pool. */
    void finishUnqueued(const dispatch_request &request, result_code code, std::shared_ptr<const answer_payload> answer = nullptr);

    // Outcomes.
    void finishCaller(pending_request &request, result_code code, const std::shared_ptr<const answer_payload> &answer = nullptr);
    void finishDuplicates(pending_request &request, result_code code, const std::shared_ptr<const answer_payload> &answer = nullptr);
    /** Finishes a waiting request and its duplicates with @p code or, if it may have run, with the code of its failure. */
    void finishWaiting(pending_request &request, result_code code);
    /** Finishes a waiting request for its own caller only; a duplicate, if any, becomes the primary request. */
    void abandonWaiting(pending_request &request, result_code code);
    void abandonRunning(pending_request &request);
    void abandonDuplicate(pending_request &duplicate);
    void expire(pending_request &request);

    // Attempts.
    void queueReady(pending_request &request);
    void send(pending_request &request, bool alone);
    pending_request *endAttempt(dispatch_id id);
    bool countCrash(pending_request &request, const attempt_failed &event);
    bool scheduleRetry(pending_request &request);
    bool dispatchSuspect(pending_request &suspect);
    bool cannotMeetDeadline(const pending_request &request) const;
    void finishFailed(pending_request &request, result_code code, bool sent);
    void release(pending_request &request);

    void reportIdleHeldSlots();
    bool isValid() const noexcept;
    static bool isDeduplicated(const dispatch_request &request) noexcept;

    dispatcher_settings settings;
    run_time_table runTimes;
    pending_pool pool;
    request_backlog backlog;
    worker_slots slots;
    deduplication_table duplicates;
    transfer_wait_list awaitingTransfer;
    crash_suspects suspects;
    retry_budget budget;
    std::mt19937_64 random;
    deadline_order deadlines;
    /** Requests that takeQueued() did not return because they may have run; they are finished at the next event. */
    std::vector<pending_request *> untransferred;

    home_term term;
    monotonic_time validUntil{};
    bool awaitsHeldSlotsIdle = false;
    /** Suspects wait until this time if other requests are queued, so that they take at most half of the server's time. */
    monotonic_time nextSuspectStart{};
    monotonic_time suspectWaitStarted{};
    bool suspectWaitsForIdle = false;

    // Valid while an event is handled.
    monotonic_time now{};
    wall_time wallNow{};
    action_list *actions = nullptr;
};

} // namespace sycamoretray
