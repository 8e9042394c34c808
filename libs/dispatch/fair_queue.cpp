#include "dispatch/fair_queue.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/** Customers without queued requests are remembered up to this number, for their credit and to avoid allocations. */
constexpr std::size_t rememberedCustomers = 2048;
/** A customer waits at most this many turns for one expensive request. */
constexpr int maximumDebt = 8;

} // namespace

fair_queue::~fair_queue()
{
    m_turns.clear();
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
        // Unused credit of an idle customer does not add up; its debt stays.
        queue.credit = std::min(queue.credit, time_span(0));
        m_turns.push_back(queue);
        ++m_active;
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
    if (m_turns.empty()) {
        return nullptr;
    }
    // With one customer there is nobody to take turns with, and a debt towards nobody is void.
    if (m_active == 1) {
        m_turns.front().credit = std::max(m_turns.front().credit, quantum);
    }
    while (m_turns.front().credit <= time_span(0)) {
        customer_queue &queue = m_turns.front();
        queue.credit += quantum;
        m_turns.pop_front();
        m_turns.push_back(queue);
    }
    customer_queue &queue = m_turns.front();
    pending_request &request = *queue.requests.begin();
    queue.credit = std::max(queue.credit - request.cost, -maximumDebt * quantum);
    take(queue, request);
    return &request;
}

void fair_queue::remove(pending_request &request)
{
    take(*request.customer, request);
}

void fair_queue::take(customer_queue &queue, pending_request &request)
{
    queue.requests.erase(queue.requests.iterator_to(request));
    queue.work -= request.cost;
    m_work -= request.cost;
    --m_size;
    request.customer = nullptr;
    if (queue.requests.empty()) {
        m_turns.erase(m_turns.iterator_to(queue));
        --m_active;
        if (m_customers.size() > rememberedCustomers) {
            m_customers.erase(m_customers.find(queue.customer));
        }
    }
}

void fair_queue::settle(const customer_id &customer, time_span difference)
{
    const auto found = m_customers.find(customer);
    if (found != m_customers.end()) {
        const time_span bound = maximumDebt * m_quantum;
        found->second.credit = std::clamp(found->second.credit - difference, -bound, m_quantum);
    }
}

pending_request *fair_queue::largestBacklog() const
{
    const auto largest = std::max_element(m_turns.begin(), m_turns.end(), [](const customer_queue &a, const customer_queue &b) {
        return a.work < b.work;
    });
    return largest == m_turns.end() ? nullptr : const_cast<pending_request *>(&*largest->requests.rbegin());
}

time_span fair_queue::workOf(const customer_id &customer) const
{
    const auto found = m_customers.find(customer);
    return found == m_customers.end() ? time_span(0) : found->second.work;
}

} // namespace sycamoretray
