#include "dispatch/server_dispatcher_impl.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/** Repeats of one id beyond this are told that its outcome is not known yet; a caller rarely repeats more than twice. */
constexpr std::size_t repeatsPerId = 16;
/** A queue may hold this many times its longest run time even if that exceeds the limit of the queue delay. */
constexpr int queuedLongestRuns = 4;
/**
 * The expected delay is taken as 1/8 longer. Without this margin half of the requests admitted under overload missed the
 * check before dispatch by little and were refused after 88 of 100 ms.
 */
constexpr int delayMarginDivisor = 8;

} // namespace

void server_dispatcher::impl::on(dispatch_request &&request)
{
    budget.earn();
    // A repeat must not be told "not run" because of its own deadline while the id is open, so the memory comes first.
    if (isRemembered(request) && joinRepeat(request)) {
        return;
    }
    if (refuse(request) || refuseForDelay(request) || !makeRoom(request)) {
        return;
    }
    pending_request &pending = pool.add(std::move(request));
    if (isRemembered(pending.request)) {
        duplicates.open(pending.request);
    }
    deadlines.insert(pending);
    queueReady(pending);
}

void server_dispatcher::impl::finishNew(const dispatch_request &request, result_code code, std::shared_ptr<const answer_payload> answer)
{
    actions->emplace_back(finish_request{ request.id, code, std::move(answer) });
}

bool server_dispatcher::impl::refuse(const dispatch_request &request)
{
    if (request.deadline <= now) {
        finishNew(request, result_code::deadline_expired);
        return true;
    }
    if (suspects.size() > 0 && suspects.isRefused(request.fingerprint, now)) {
        finishNew(request, result_code::crash_suspect);
        return true;
    }
    return false;
}

bool server_dispatcher::impl::joinRepeat(dispatch_request &request)
{
    duplicates.expire(wallNow);
    duplicate_lookup found = duplicates.find(request, wallNow);
    if (found.verdict == duplicate_verdict::fresh) {
        return false;
    }
    if (found.verdict == duplicate_verdict::full) {
        finishNew(request, result_code::duplicate_table_full);
        return true;
    }
    if (mayBecomeKnown(request, found)) {
        awaitingMemory.add(std::move(request));
        return true;
    }
    if (found.verdict == duplicate_verdict::settled) {
        finishNew(request, found.code, std::move(found.answer));
        return true;
    }
    pending_request *primary = pool.find(found.primary);
    const bool full = backlog.count() >= settings.queuedRequests || backlog.bytes() + request.bytes > settings.queuedBytes;
    if (primary == nullptr || full || primary->repeats.size() >= repeatsPerId) {
        finishNew(request, result_code::repeat_unsettled);
        return true;
    }
    pending_request &repeat = pool.add(std::move(request));
    repeat.primary = primary;
    primary->repeats.push_back(&repeat);
    backlog.addRepeat(repeat);
    deadlines.insert(repeat);
    return true;
}

bool server_dispatcher::impl::mayBecomeKnown(const dispatch_request &request, const duplicate_lookup &found) const
{
    return found.code == result_code::request_id_before_takeover && awaitingMemory.isExpected(request.slot, now) && now < request.deadline
        && awaitingMemory.size() < settings.queuedRequests;
}

time_span server_dispatcher::impl::expectedDelay(std::uint32_t requestClass, const customer_id *customer) const
{
    const bool isLong = runTimes.isLong(requestClass);
    const time_span threshold = runTimes.longThreshold();
    const fair_queue &queue = backlog.queue(isLong);
    time_span work = queue.work();
    if (customer != nullptr && queue.activeCustomers() > 0) {
        // Until the customer's turn has come for this request, each other customer is served as much as this one at most.
        const time_span own = queue.workOf(*customer);
        const std::size_t customers = queue.activeCustomers() + (own == time_span(0) ? 1 : 0);
        work = std::min(work, (own + runTimes.expected(requestClass)) * static_cast<time_span::rep>(customers));
    }
    if (isLong) {
        work += backlog.queue(false).work();
    }
    return slots.untilFree(isLong, now, threshold) + work / slots.usable(isLong, now, threshold);
}

bool server_dispatcher::impl::refuseForDelay(const dispatch_request &request)
{
    // How long a held slot stays held is not known here; the hold lasts a fraction of a usual deadline.
    if (backlog.isHeld(request.slot)) {
        return false;
    }
    const time_span delay = expectedDelay(request.requestClass, &request.customer);
    // A request that can start at once is let through whatever was learnt, so that a wrong estimate corrects itself.
    if (delay == time_span(0)) {
        return false;
    }
    // Stricter than the check before dispatch: a request that is likely to be given up there is refused here, at once.
    const time_span runTime = std::max(runTimes.expected(request.requestClass), runTimes.cautious(request.requestClass));
    if (now + delay + delay / delayMarginDivisor + runTime > request.deadline) {
        finishNew(request, result_code::deadline_unreachable);
        return true;
    }
    const bool isLong = runTimes.isLong(request.requestClass);
    const time_span limit = std::max(settings.queueDelayLimit, queuedLongestRuns * runTimes.largestExpected(isLong));
    if (isValid() && delay > limit) {
        finishNew(request, overShare(request) ? result_code::customer_over_share : result_code::queue_full);
        return true;
    }
    return false;
}

bool server_dispatcher::impl::overShare(const dispatch_request &request) const
{
    const fair_queue &queue = backlog.queue(runTimes.isLong(request.requestClass));
    const auto customers = static_cast<time_span::rep>(queue.activeCustomers());
    return customers > 1 && queue.workOf(request.customer) * customers > queue.work();
}

bool server_dispatcher::impl::makeRoom(const dispatch_request &request)
{
    const auto fits = [&] {
        return backlog.count() < settings.queuedRequests && backlog.bytes() + request.bytes <= settings.queuedBytes;
    };
    while (!fits()) {
        const fair_queue &fuller = backlog.queue(backlog.queue(true).size() > backlog.queue(false).size());
        pending_request *victim = request.bytes > settings.queuedBytes ? nullptr : fuller.largestBacklog();
        if (victim == nullptr || fuller.workOf(victim->request.customer) <= fuller.workOf(request.customer) + victim->cost) {
            finishNew(request, overShare(request) ? result_code::customer_over_share : result_code::queue_full);
            return false;
        }
        finishWaiting(*victim, result_code::customer_over_share);
    }
    return true;
}

bool server_dispatcher::impl::hopeless(const pending_request &request) const
{
    return !backlog.nothingReady() && now + runTimes.cautious(request.request.requestClass) > request.request.deadline;
}

void server_dispatcher::impl::dispatch()
{
    while (isValid() && slots.hasFree() && !slots.runsAlone()) {
        if (pending_request *suspect = backlog.firstSuspect(); suspect == nullptr) {
            draining = false;
        } else if (backlog.nothingReady() || now >= nextAlone) {
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
        } else if (hopeless(*request)) {
            settleFailure(*request, result_code::deadline_expired, false);
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
    if (!draining) {
        draining = true;
        drainStarted = now;
    }
    if (slots.runningCount() > 0) {
        return false;
    }
    draining = false;
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
