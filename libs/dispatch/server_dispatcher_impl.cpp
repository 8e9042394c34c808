#include "dispatch/server_dispatcher_impl.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/** An answer within this multiple of the expected run time adds a worker slot during the slow start. */
constexpr int slowStartFactor = 2;
constexpr std::uint32_t maxBackoffDoublings = 6;

} // namespace

server_dispatcher::impl::impl(const dispatcher_settings &settings, wall_time startedAt)
    : settings(settings)
    , backlog(runTimes)
    , slots(settings.workerSlots)
    , duplicates(settings, startedAt)
    , suspects(settings.crashLimit, settings.crashRefusal)
    , budget(settings.retryShare)
    , random(settings.seed)
{
}

server_dispatcher::impl::~impl()
{
    deadlines.clear();
}

bool server_dispatcher::impl::isDeduplicated(const dispatch_request &request) noexcept
{
    return request.nonIdempotent && request.callerSuppliedId;
}

bool server_dispatcher::impl::isValid() const noexcept
{
    return now < validUntil;
}

void server_dispatcher::impl::processDue()
{
    for (pending_request *each : untransferred) {
        finishWaiting(*each, each->failure);
    }
    untransferred.clear();
    for (dispatch_request &request : awaitingTransfer.takeReady(now)) {
        on(std::move(request));
    }
    while (!deadlines.empty() && deadlines.begin()->request.deadline <= now) {
        expire(*deadlines.begin());
    }
    while (pending_request *request = backlog.takeDueRetry(now)) {
        queueReady(*request);
    }
}

void server_dispatcher::impl::on(valid_until_changed &&event)
{
    // The server may have been restarted while it was unreachable.
    if (!isValid() && event.validUntil > now) {
        slots.restartSlowStart();
    }
    term = event.term;
    validUntil = event.validUntil;
}

void server_dispatcher::impl::on(slots_held &&event)
{
    backlog.hold(event.slots);
    awaitsHeldSlotsIdle = true;
    reportIdleHeldSlots();
}

void server_dispatcher::impl::on(slots_released &&event)
{
    backlog.release(event.slots);
}

void server_dispatcher::impl::on(crashes_reported &&event)
{
    suspects.merge(event.fingerprint, event.crashes, event.refusedFor, now);
}

void server_dispatcher::impl::on(dispatch_tick && /*event*/)
{
    duplicates.expire(wallNow);
}

void server_dispatcher::impl::reportIdleHeldSlots()
{
    if (!awaitsHeldSlotsIdle) {
        return;
    }
    const pending_list &running = slots.running();
    const bool busy = std::any_of(running.begin(), running.end(), [this](const pending_request &each) {
        return backlog.isHeld(each.request.slot);
    });
    if (!busy) {
        awaitsHeldSlotsIdle = false;
        actions->emplace_back(held_slots_idle{});
    }
}

void server_dispatcher::impl::on(server_answered &&event)
{
    pending_request *request = endAttempt(event.id);
    if (request == nullptr) {
        return;
    }
    const time_span runTime = now - request->sentAt;
    if (!request->cancelled) {
        const std::uint32_t requestClass = request->request.requestClass;
        if (!runTimes.hasEstimate(requestClass) || runTime <= slowStartFactor * runTimes.expected(requestClass)) {
            slots.addSlotAfterAnswer();
        }
        runTimes.addSample(requestClass, runTime);
        backlog.queue(request->isLong).chargeDifference(request->request.customer, runTime - request->cost);
    }
    if (suspects.size() > 0) {
        suspects.clear(request->request.fingerprint);
    }
    if (isDeduplicated(request->request)) {
        duplicates.recordOutcome(request->request, result_code::ok, event.answer, event.bytes);
    }
    finishDuplicates(*request, result_code::ok, event.answer);
    finishCaller(*request, result_code::ok, event.answer);
    release(*request);
    reportIdleHeldSlots();
}

void server_dispatcher::impl::on(server_refused &&event)
{
    pending_request *request = endAttempt(event.id);
    if (request != nullptr) {
        finishFailed(*request, result_code::refused_by_server, false);
        reportIdleHeldSlots();
    }
}

void server_dispatcher::impl::on(attempt_failed &&event)
{
    pending_request *request = endAttempt(event.id);
    if (request == nullptr) {
        return;
    }
    result_code code = event.code;
    if (event.sent && outcomeClass(code) != request_outcome_class::unknown) {
        code = result_code::server_connection_lost;
    } else if (!event.sent && outcomeClass(code) != request_outcome_class::not_run) {
        code = result_code::refused_by_server;
    }
    bool retryable = !request->callerFinished;
    if (event.sent) {
        request->mayHaveRun = true;
        request->failure = code;
        retryable = retryable && !request->request.nonIdempotent;
        retryable = !countCrash(*request, event) && retryable;
    }
    if (!retryable || !scheduleRetry(*request)) {
        finishFailed(*request, code, event.sent);
    }
    reportIdleHeldSlots();
}

pending_request *server_dispatcher::impl::endAttempt(dispatch_id id)
{
    pending_request *request = pool.find(id);
    if (request == nullptr || request->state != pending_state::running) {
        return nullptr;
    }
    slots.vacate(*request);
    if (request->runsAlone) {
        request->runsAlone = false;
        nextSuspectStart = now + (now - suspectWaitStarted);
    }
    return request;
}

bool server_dispatcher::impl::countCrash(pending_request &request, const attempt_failed &event)
{
    // A connection closed after a cancellation does not indicate a crash.
    const bool crashed = event.code == result_code::server_connection_lost || event.code == result_code::answer_truncated;
    if (!crashed || request.cancelled) {
        return false;
    }
    slots.restartSlowStart();
    const std::uint32_t total = suspects.countCrash(request.request.fingerprint, now);
    actions->emplace_back(report_crash{ request.request.fingerprint, total, settings.crashRefusal });
    return total >= settings.crashLimit;
}

bool server_dispatcher::impl::scheduleRetry(pending_request &request)
{
    const std::uint32_t doublings = std::min(request.attempts - 1, maxBackoffDoublings);
    const time_span::rep longest = settings.retryDelay.count() << doublings;
    const monotonic_time retryAt = now + time_span(std::uniform_int_distribution<time_span::rep>(0, longest)(random));
    if (retryAt >= request.request.deadline || !budget.spend()) {
        return false;
    }
    request.retryAt = retryAt;
    backlog.addRetry(request);
    return true;
}

void server_dispatcher::impl::finishFailed(pending_request &request, result_code code, bool sent)
{
    const result_code outcome = request.mayHaveRun ? request.failure : code;
    if (isDeduplicated(request.request)) {
        if (sent || request.mayHaveRun) {
            duplicates.recordOutcome(request.request, outcome, nullptr, 0);
        } else {
            duplicates.remove(request.request);
        }
    }
    finishDuplicates(request, outcome);
    finishCaller(request, outcome);
    release(request);
}

void server_dispatcher::impl::on(caller_disconnected &&event)
{
    if (const auto waiting = awaitingTransfer.take(event.id)) {
        finishUnqueued(*waiting, result_code::request_id_before_takeover);
        return;
    }
    pending_request *request = pool.find(event.id);
    if (request == nullptr || request->callerFinished) {
        return;
    }
    if (request->state == pending_state::running) {
        abandonRunning(*request);
    } else if (request->primary != nullptr) {
        abandonDuplicate(*request);
    } else {
        abandonWaiting(*request, result_code::deadline_expired);
    }
}

void server_dispatcher::impl::expire(pending_request &request)
{
    if (request.state == pending_state::running) {
        abandonRunning(request);
    } else if (request.primary != nullptr) {
        abandonDuplicate(request);
    } else {
        abandonWaiting(request, result_code::deadline_expired);
    }
}

void server_dispatcher::impl::abandonRunning(pending_request &request)
{
    finishCaller(request, result_code::deadline_while_running);
    // A deduplicated request is not cancelled, because its outcome is recorded for duplicates.
    if (!isDeduplicated(request.request) && !request.cancelled) {
        request.cancelled = true;
        actions->emplace_back(cancel_request{ request.request.id });
    }
}

void server_dispatcher::impl::abandonDuplicate(pending_request &duplicate)
{
    auto &siblings = duplicate.primary->waitingDuplicates;
    siblings.erase(std::find(siblings.begin(), siblings.end(), &duplicate));
    backlog.remove(duplicate);
    finishCaller(duplicate, result_code::repeat_unsettled);
    release(duplicate);
}

void server_dispatcher::impl::abandonWaiting(pending_request &request, result_code code)
{
    if (request.waitingDuplicates.empty()) {
        finishWaiting(request, code);
        return;
    }
    // The id may still run for a duplicate, so this caller must not be answered "not run".
    backlog.remove(request);
    pending_request &successor = *request.waitingDuplicates.front();
    backlog.remove(successor);
    successor.waitingDuplicates.assign(request.waitingDuplicates.begin() + 1, request.waitingDuplicates.end());
    successor.primary = nullptr;
    for (pending_request *each : successor.waitingDuplicates) {
        each->primary = &successor;
    }
    request.waitingDuplicates.clear();
    duplicates.replacePrimary(successor.request);
    finishCaller(request, result_code::repeat_unsettled);
    release(request);
    queueReady(successor);
}

void server_dispatcher::impl::finishWaiting(pending_request &request, result_code code)
{
    backlog.remove(request);
    finishFailed(request, code, false);
}

void server_dispatcher::impl::finishCaller(pending_request &request, result_code code, const std::shared_ptr<const answer_payload> &answer)
{
    if (request.callerFinished) {
        return;
    }
    request.callerFinished = true;
    deadlines.erase(deadlines.iterator_to(request));
    actions->emplace_back(finish_request{ request.request.id, code, answer });
}

void server_dispatcher::impl::finishDuplicates(pending_request &request, result_code code, const std::shared_ptr<const answer_payload> &answer)
{
    for (pending_request *each : request.waitingDuplicates) {
        backlog.remove(*each);
        finishCaller(*each, code, answer);
        release(*each);
    }
    request.waitingDuplicates.clear();
}

void server_dispatcher::impl::release(pending_request &request)
{
    pool.release(request);
}

void server_dispatcher::impl::queueReady(pending_request &request)
{
    if (suspects.size() > 0 && suspects.isSuspect(request.request.fingerprint, now)) {
        backlog.addSuspect(request);
    } else {
        backlog.add(request);
    }
}

} // namespace sycamoretray
