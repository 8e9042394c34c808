#include "dispatch/server_dispatcher_impl.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/** Further duplicates of one id are answered with repeat_unsettled; a caller rarely retries more than twice. */
constexpr std::size_t maxDuplicatesPerId = 16;
/** A queue may hold this many times its longest expected run time, even if that exceeds the queue delay limit. */
constexpr int queuedLongestRunTimes = 4;
/**
 * 1/8 of the expected delay is added to it. Without this margin, under overload half of the admitted requests narrowly
 * fail the deadline check before dispatch and are refused after 88 ms of a 100 ms deadline.
 */
constexpr int delayMarginDivisor = 8;

} // namespace

void server_dispatcher::impl::on(dispatch_request &&request)
{
    budget.earn();
    // The deduplication table is checked first: while the id is in progress, a duplicate must not be answered "not run"
    // because of its own deadline.
    if (isDeduplicated(request) && handleDuplicate(request)) {
        return;
    }
    if (refuseExpiredOrSuspect(request) || refuseForDelay(request) || !evictForSpace(request)) {
        return;
    }
    pending_request &pending = pool.add(std::move(request));
    if (isDeduplicated(pending.request)) {
        duplicates.insert(pending.request);
    }
    deadlines.insert(pending);
    queueReady(pending);
}

void server_dispatcher::impl::finishUnqueued(const dispatch_request &request, result_code code, std::shared_ptr<const answer_payload> answer)
{
    actions->emplace_back(finish_request{ request.id, code, std::move(answer) });
}

bool server_dispatcher::impl::refuseExpiredOrSuspect(const dispatch_request &request)
{
    if (request.deadline <= now) {
        finishUnqueued(request, result_code::deadline_expired);
        return true;
    }
    if (suspects.size() > 0 && suspects.isRefused(request.fingerprint, now)) {
        finishUnqueued(request, result_code::crash_suspect);
        return true;
    }
    return false;
}

bool server_dispatcher::impl::handleDuplicate(dispatch_request &request)
{
    duplicates.expire(wallNow);
    duplicate_lookup found = duplicates.find(request, wallNow);
    if (found.verdict == duplicate_verdict::unseen) {
        return false;
    }
    if (found.verdict == duplicate_verdict::table_full) {
        finishUnqueued(request, result_code::duplicate_table_full);
        return true;
    }
    if (mayArriveByTransfer(request, found)) {
        awaitingTransfer.add(std::move(request));
        return true;
    }
    if (found.verdict == duplicate_verdict::must_not_run) {
        finishUnqueued(request, found.code, std::move(found.answer));
        return true;
    }
    pending_request *primary = pool.find(found.primary);
    const bool full = backlog.count() >= settings.queuedRequests || backlog.bytes() + request.bytes > settings.queuedBytes;
    if (primary == nullptr || full || primary->waitingDuplicates.size() >= maxDuplicatesPerId) {
        finishUnqueued(request, result_code::repeat_unsettled);
        return true;
    }
    pending_request &duplicate = pool.add(std::move(request));
    duplicate.primary = primary;
    primary->waitingDuplicates.push_back(&duplicate);
    backlog.addDuplicate(duplicate);
    deadlines.insert(duplicate);
    return true;
}

bool server_dispatcher::impl::mayArriveByTransfer(const dispatch_request &request, const duplicate_lookup &found) const
{
    return found.code == result_code::request_id_before_takeover && awaitingTransfer.isExpected(request.slot, now) && now < request.deadline
        && awaitingTransfer.size() < settings.queuedRequests;
}

time_span server_dispatcher::impl::expectedDelay(std::uint32_t requestClass, const customer_id *customer) const
{
    const bool isLong = runTimes.isLong(requestClass);
    const time_span threshold = runTimes.longThreshold();
    const fair_queue &queue = backlog.queue(isLong);
    time_span work = queue.work();
    if (customer != nullptr && queue.activeCustomers() > 0) {
        // Before this request is served, each other customer is served at most as much as this one.
        const time_span own = queue.workOf(*customer);
        const std::size_t customers = queue.activeCustomers() + (own == time_span(0) ? 1 : 0);
        work = std::min(work, (own + runTimes.expected(requestClass)) * static_cast<time_span::rep>(customers));
    }
    if (isLong) {
        work += backlog.queue(false).work();
    }
    return slots.timeUntilFree(isLong, now, threshold) + work / slots.usableSlots(isLong, now, threshold);
}

bool server_dispatcher::impl::refuseForDelay(const dispatch_request &request)
{
    // The duration of the hold is unknown here; it is a fraction of a typical deadline.
    if (backlog.isHeld(request.slot)) {
        return false;
    }
    const time_span delay = expectedDelay(request.requestClass, &request.customer);
    // A request that can start at once is admitted whatever the estimate, so that a wrong estimate corrects itself.
    if (delay == time_span(0)) {
        return false;
    }
    // Stricter than the check before dispatch, so that a request likely to fail that check is refused immediately.
    const time_span runTime = std::max(runTimes.expected(request.requestClass), runTimes.upperEstimate(request.requestClass));
    if (now + delay + delay / delayMarginDivisor + runTime > request.deadline) {
        finishUnqueued(request, result_code::deadline_unreachable);
        return true;
    }
    const bool isLong = runTimes.isLong(request.requestClass);
    const time_span limit = std::max(settings.queueDelayLimit, queuedLongestRunTimes * runTimes.largestExpected(isLong));
    if (isValid() && delay > limit) {
        finishUnqueued(request, exceedsFairShare(request) ? result_code::customer_over_share : result_code::queue_full);
        return true;
    }
    return false;
}

bool server_dispatcher::impl::exceedsFairShare(const dispatch_request &request) const
{
    const fair_queue &queue = backlog.queue(runTimes.isLong(request.requestClass));
    const auto customers = static_cast<time_span::rep>(queue.activeCustomers());
    return customers > 1 && queue.workOf(request.customer) * customers > queue.work();
}

bool server_dispatcher::impl::evictForSpace(const dispatch_request &request)
{
    const auto fits = [&] {
        return backlog.count() < settings.queuedRequests && backlog.bytes() + request.bytes <= settings.queuedBytes;
    };
    while (!fits()) {
        const fair_queue &fuller = backlog.queue(backlog.queue(true).size() > backlog.queue(false).size());
        pending_request *victim = request.bytes > settings.queuedBytes ? nullptr : fuller.largestBacklog();
        if (victim == nullptr || fuller.workOf(victim->request.customer) <= fuller.workOf(request.customer) + victim->cost) {
            finishUnqueued(request, exceedsFairShare(request) ? result_code::customer_over_share : result_code::queue_full);
            return false;
        }
        finishWaiting(*victim, result_code::customer_over_share);
    }
    return true;
}

bool server_dispatcher::impl::cannotMeetDeadline(const pending_request &request) const
{
    return !backlog.hasNoReadyRequest() && now + runTimes.upperEstimate(request.request.requestClass) > request.request.deadline;
}

void server_dispatcher::impl::dispatch()
{
    while (isValid() && slots.hasFreeSlot() && !slots.runsAlone()) {
        if (pending_request *suspect = backlog.firstSuspect(); suspect == nullptr) {
            suspectWaitsForIdle = false;
        } else if (backlog.hasNoReadyRequest() || now >= nextSuspectStart) {
            if (!dispatchSuspect(*suspect)) {
                return;
            }
            continue;
        }
        pending_request *request = backlog.next(slots.longAllowed(now, runTimes.longThreshold()));
        if (request == nullptr) {
            return;
        }
        if (suspects.size() > 0 && suspects.isSuspect(request->request.fingerprint, now)) {
            backlog.addSuspect(*request);
        } else if (cannotMeetDeadline(*request)) {
            finishFailed(*request, result_code::deadline_expired, false);
        } else {
            send(*request, false);
        }
    }
}

bool server_dispatcher::impl::dispatchSuspect(pending_request &suspect)
{
    if (suspects.isRefused(suspect.request.fingerprint, now)) {
        finishWaiting(suspect, result_code::crash_suspect);
        return true;
    }
    if (!suspectWaitsForIdle) {
        suspectWaitsForIdle = true;
        suspectWaitStarted = now;
    }
    if (slots.runningCount() > 0) {
        return false;
    }
    suspectWaitsForIdle = false;
    backlog.remove(suspect);
    send(suspect, true);
    return true;
}

void server_dispatcher::impl::send(pending_request &request, bool alone)
{
    ++request.attempts;
    request.runsAlone = alone;
    slots.occupy(request, now);
    actions->emplace_back(send_request{ request.request.id, term, request.request.deadline - now });
}

} // namespace sycamoretray
