#include "dispatch/fair_queue.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/** Above this number of customers, one without queued requests is removed. Others keep their credit and their allocation. */
constexpr std::size_t retainedCustomers = 2048;
/** Bounds the debt, in quanta, so that a customer skips at most this many turns after one expensive request. */
constexpr int maxDebtQuanta = 8;

} // namespace

fair_queue::~fair_queue()
{
    m_activeQueues.clear();
    for (auto &entry : m_customers) {
        entry.second.requests.clear();
    }
}

void fair_queue::push(pending_request &request)
{
    const auto [position, isNew] = m_customers.try_emplace(request.request.customer);
    customer_queue &queue = position->second;
    if (isNew) {
        queue.customer = request.request.customer;
    }
    if (queue.requests.empty()) {
        // An idle customer loses its unused credit and keeps its debt.
        queue.credit = std::min(queue.credit, time_span(0));
        m_activeQueues.push_back(queue);
        ++m_activeCount;
    }
    queue.requests.insert(request);
    queue.work += request.cost;
    request.customer = &queue;
    m_work += request.cost;
    ++m_size;
}

pending_request *fair_queue::pop(time_span quantum)
{
    m_quantum = quantum;
    if (m_activeQueues.empty()) {
        return nullptr;
    }
    // With only one active customer there is no other to be fair to, so its debt is cancelled.
    if (m_activeCount == 1) {
        m_activeQueues.front().credit = std::max(m_activeQueues.front().credit, quantum);
    }
    while (m_activeQueues.front().credit <= time_span(0)) {
        customer_queue &queue = m_activeQueues.front();
        queue.credit += quantum;
        m_activeQueues.pop_front();
        m_activeQueues.push_back(queue);
    }
    customer_queue &queue = m_activeQueues.front();
    pending_request &request = *queue.requests.begin();
    queue.credit = std::max(queue.credit - request.cost, -maxDebtQuanta * quantum);
    unlink(queue, request);
    return &request;
}

void fair_queue::remove(pending_request &request)
{
    unlink(*request.customer, request);
}

void fair_queue::unlink(customer_queue &queue, pending_request &request)
{
    queue.requests.erase(queue.requests.iterator_to(request));
    queue.work -= request.cost;
    m_work -= request.cost;
    --m_size;
    request.customer = nullptr;
    if (queue.requests.empty()) {
        m_activeQueues.erase(m_activeQueues.iterator_to(queue));
        --m_activeCount;
        if (m_customers.size() > retainedCustomers) {
            m_customers.erase(m_customers.find(queue.customer));
        }
    }
}

void fair_queue::chargeDifference(const customer_id &customer, time_span difference)
{
    const auto found = m_customers.find(customer);
    if (found != m_customers.end()) {
        const time_span bound = maxDebtQuanta * m_quantum;
        found->second.credit = std::clamp(found->second.credit - difference, -bound, m_quantum);
    }
}

pending_request *fair_queue::largestBacklog() const
{
    const auto largest = std::max_element(m_activeQueues.begin(), m_activeQueues.end(), [](const customer_queue &a, const customer_queue &b) {
        return a.work < b.work;
    });
    return largest == m_activeQueues.end() ? nullptr : const_cast<pending_request *>(&*largest->requests.rbegin());
}

time_span fair_queue::workOf(const customer_id &customer) const
{
    const auto found = m_customers.find(customer);
    return found == m_customers.end() ? time_span(0) : found->second.work;
}

} // namespace sycamoretray
