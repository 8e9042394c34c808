#include "dispatch/request_backlog.h"

namespace sycamoretray
{

namespace
{

/**
 * While both kinds wait, long requests get a quarter of the run time, so that lasting overload by short requests delays
 * long ones but does not starve them.
 */
constexpr int shortToLongRatio = 3;

} // namespace

request_backlog::request_backlog(const run_time_table &runTimes)
    : m_runTimes(runTimes)
{
}

request_backlog::~request_backlog()
{
    m_held.clear();
    m_suspects.clear();
    m_retries.clear();
}

void request_backlog::addToTotals(const pending_request &request) noexcept
{
    ++m_count;
    m_bytes += request.request.bytes;
}

void request_backlog::subtractFromTotals(const pending_request &request) noexcept
{
    --m_count;
    m_bytes -= request.request.bytes;
}

void request_backlog::enqueue(pending_request &request)
{
    request.cost = m_runTimes.expected(request.request.requestClass);
    request.isLong = m_runTimes.isLong(request.request.requestClass);
    if (isHeld(request.request.slot)) {
        request.state = pending_state::held;
        m_held.push_back(request);
        return;
    }
    request.state = pending_state::queued;
    queue(request.isLong).push(request);
}

void request_backlog::add(pending_request &request)
{
    addToTotals(request);
    enqueue(request);
}

void request_backlog::addSuspect(pending_request &request)
{
    if (isHeld(request.request.slot)) {
        add(request);
        return;
    }
    addToTotals(request);
    request.cost = m_runTimes.expected(request.request.requestClass);
    request.isLong = m_runTimes.isLong(request.request.requestClass);
    request.state = pending_state::suspect_wait;
    m_suspects.push_back(request);
}

void request_backlog::addRetry(pending_request &request)
{
    addToTotals(request);
    request.state = pending_state::retry_wait;
    m_retries.insert(request);
}

void request_backlog::addDuplicate(pending_request &request)
{
    addToTotals(request);
    request.state = pending_state::duplicate_wait;
}

void request_backlog::remove(pending_request &request)
{
    subtractFromTotals(request);
    switch (request.state) {
    case pending_state::queued:
        queue(request.isLong).remove(request);
        break;
    case pending_state::held:
        m_held.erase(m_held.iterator_to(request));
        break;
    case pending_state::suspect_wait:
        m_suspects.erase(m_suspects.iterator_to(request));
        break;
    case pending_state::retry_wait:
        m_retries.erase(m_retries.iterator_to(request));
        break;
    case pending_state::running:
    case pending_state::duplicate_wait:
        break;
    }
}

pending_request *request_backlog::pop(bool isLong)
{
    fair_queue &from = queue(isLong);
    const time_span quantum = m_runTimes.largestExpected(isLong);
    while (pending_request *request = from.pop(quantum)) {
        if (m_runTimes.isLong(request->request.requestClass) == isLong) {
            subtractFromTotals(*request);
            return request;
        }
        // The class changed between short and long while the request was queued.
        enqueue(*request);
    }
    return nullptr;
}

pending_request *request_backlog::next(bool longAllowed)
{
    fair_queue &longQueue = queue(true);
    const bool contended = longAllowed && !longQueue.empty() && !queue(false).empty();
    if (contended && m_longCredit >= m_runTimes.largestExpected(true)) {
        if (pending_request *request = pop(true)) {
            m_longCredit -= request->cost;
            return request;
        }
    }
    if (pending_request *request = pop(false)) {
        if (contended) {
            m_longCredit += request->cost / shortToLongRatio;
        }
        return request;
    }
    pending_request *request = longAllowed ? pop(true) : nullptr;
    if (longQueue.empty()) {
        m_longCredit = time_span(0);
    }
    // pop(true) moves requests whose class has become short to the short queue.
    return request == nullptr && !queue(false).empty() ? pop(false) : request;
}

pending_request *request_backlog::firstSuspect() noexcept
{
    return m_suspects.empty() ? nullptr : &m_suspects.front();
}

pending_request *request_backlog::takeDueRetry(monotonic_time now)
{
    if (m_retries.empty() || m_retries.begin()->retryAt > now) {
        return nullptr;
    }
    pending_request &request = *m_retries.begin();
    remove(request);
    return &request;
}

void request_backlog::hold(const std::vector<hash_slot> &slots)
{
    for (const hash_slot slot : slots) {
        m_heldSlots.set(slot.value() % hashSlotCount);
    }
    std::vector<pending_request *> affected;
    for (fair_queue &each : m_queues) {
        each.forEach([&](pending_request &request) {
            if (isHeld(request.request.slot)) {
                affected.push_back(&request);
            }
        });
    }
    for (pending_request &request : m_suspects) {
        if (isHeld(request.request.slot)) {
            affected.push_back(&request);
        }
    }
    for (pending_request *request : affected) {
        remove(*request);
        add(*request);
    }
}

void request_backlog::release(const std::vector<hash_slot> &slots)
{
    for (const hash_slot slot : slots) {
        m_heldSlots.reset(slot.value() % hashSlotCount);
    }
    for (auto it = m_held.begin(); it != m_held.end();) {
        pending_request &request = *it++;
        if (!isHeld(request.request.slot)) {
            m_held.erase(m_held.iterator_to(request));
            enqueue(request);
        }
    }
}

bool request_backlog::isHeld(hash_slot slot) const noexcept
{
    return m_heldSlots.test(slot.value() % hashSlotCount);
}

void request_backlog::collect(std::vector<pending_request *> &requests)
{
    const auto append = [&requests](pending_request &request) {
        requests.push_back(&request);
    };
    for (fair_queue &each : m_queues) {
        each.forEach(append);
    }
    for (pending_request &request : m_held) {
        append(request);
    }
    for (pending_request &request : m_suspects) {
        append(request);
    }
    for (pending_request &request : m_retries) {
        append(request);
    }
}

fair_queue &request_backlog::queue(bool isLong) noexcept
{
    return m_queues[isLong ? 1 : 0];
}

const fair_queue &request_backlog::queue(bool isLong) const noexcept
{
    return m_queues[isLong ? 1 : 0];
}

bool request_backlog::hasNoReadyRequest() const noexcept
{
    return m_queues[0].empty() && m_queues[1].empty();
}

} // namespace sycamoretray
