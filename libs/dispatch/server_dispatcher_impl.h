#pragma once

#include "dispatch/crash_suspects.h"
#include "dispatch/duplicate_table.h"
#include "dispatch/memory_wait.h"
#include "dispatch/pending_pool.h"
#include "dispatch/request_backlog.h"
#include "dispatch/retry_budget.h"
#include "dispatch/run_time_table.h"
#include "dispatch/server_dispatcher.h"
#include "dispatch/worker_slots.h"

#include <random>

namespace sycamoretray
{

/** State of a server_dispatcher and the rules that connect its parts. */
struct server_dispatcher::impl {
    using action_list = std::vector<dispatch_action>;

    impl(const dispatcher_settings &settings, wall_time startedAt);
    ~impl();

    // Events. Each appends to the current action list.
    void on(dispatch_request &&request);
    void on(server_answered &&event);
    void on(server_refused &&event);
    void on(attempt_failed &&event);
    void on(caller_gone &&event);
    void on(valid_until_changed &&event);
    void on(slots_held &&event);
    void on(slots_released &&event);
    void on(crashes_reported &&event);
    void on(dispatch_tick &&event);

    /** Ends what is due at the current time. */
    void advance();
    /** Sends requests while the server may take some. */
    void dispatch();

    /** Expected wait of a request of the class; that of @p customer in its turn if given. */
    time_span expectedDelay(std::uint32_t requestClass, const customer_id *customer) const;

    // Admission.
    bool refuse(const dispatch_request &request);
    bool refuseForDelay(const dispatch_request &request);
    bool overShare(const dispatch_request &request) const;
    bool makeRoom(const dispatch_request &request);
    bool joinRepeat(dispatch_request &request);
    /** The id may be known to the slot's former home, whose memory is on its way. */
    bool mayBecomeKnown(const dispatch_request &request, const duplicate_lookup &found) const;
    void finishNew(const dispatch_request &request, result_code code, std::shared_ptr<const answer_payload> answer = nullptr);

    // Outcomes.
    void finishCaller(pending_request &request, result_code code, const std::shared_ptr<const answer_payload> &answer = nullptr);
    void finishRepeats(pending_request &request, result_code code, const std::shared_ptr<const answer_payload> &answer = nullptr);
    /** Ends a request that waits, and its repeats, with @p code or, if it may have run, with the code of its failure. */
    void finishWaiting(pending_request &request, result_code code);
    /** Ends a waiting request for its own caller only; a repeat of it takes its place. */
    void abandonWaiting(pending_request &request, result_code code);
    void abandonRunning(pending_request &request);
    void leaveRepeat(pending_request &repeat);
    void expire(pending_request &request);

    // Attempts.
    void queueReady(pending_request &request);
    void send(pending_request &request, bool alone);
    pending_request *endAttempt(dispatch_id id);
    bool countCrash(pending_request &request, const attempt_failed &event);
    bool retryLater(pending_request &request);
    bool dispatchSuspect(pending_request &suspect);
    bool hopeless(const pending_request &request) const;
    void settleFailure(pending_request &request, result_code code, bool sent);
    void release(pending_request &request);

    void reportIdleHeldSlots();
    bool isValid() const noexcept;
    static bool isRemembered(const dispatch_request &request) noexcept;

    dispatcher_settings settings;
    run_time_table runTimes;
    pending_pool pool;
    request_backlog backlog;
    worker_slots slots;
    duplicate_table duplicates;
    memory_wait awaitingMemory;
    crash_suspects suspects;
    retry_budget budget;
    std::mt19937_64 random;
    deadline_order deadlines;
    /** Requests left behind by takeQueued() that may have run; they end at the next event. */
    std::vector<pending_request *> leftBehind;

    home_term term;
    monotonic_time validUntil{};
    bool awaitsIdle = false;
    /** Suspects wait until this time if other work is queued, so that they take at most half of the server's time. */
    monotonic_time nextAlone{};
    monotonic_time drainStarted{};
    bool draining = false;

    // Of the event being handled.
    monotonic_time now{};
    wall_time wallNow{};
    action_list *actions = nullptr;
};

} // namespace sycamoretray
