#pragma once

#include "dispatch/pending_request.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <unordered_map>

namespace sycamoretray
{

/** Queued requests of one customer, earliest deadline first. */
struct customer_queue {
    customer_id customer;
    deadline_queue requests;
    time_span work{};
    /** Run time that the customer may still use in this turn; negative (a debt) after an expensive request. */
    time_span credit{};
    boost::intrusive::list_member_hook<> activeHook;
};

/**
 * Queue that shares run time fairly among customers and serves each customer's requests by earliest deadline.
 *
 * Uses deficit round robin with deferred charging: a customer is served while its credit is positive. The expected run
 * time is charged when a request is served, and the difference to the measured run time when it is answered.
 *
 * The caller owns the requests and must keep them alive while they are queued. Thread safety: none.
 */
class fair_queue
{
public:
    fair_queue() = default;
    ~fair_queue();
    fair_queue(const fair_queue &) = delete;
    fair_queue &operator=(const fair_queue &) = delete;

    /** Precondition: cost is set and the request is in no queue. */
    void push(pending_request &request);

    /** Removes and returns the next request, or nullptr. @param quantum  run time granted per turn, more than 0 */
    pending_request *pop(time_span quantum);

    /** Precondition: @p request is in this queue. */
    void remove(pending_request &request);

    /** Charges @p difference, the measured minus the expected run time of an answered request. */
    void chargeDifference(const customer_id &customer, time_span difference);

    /** The request with the latest deadline of the customer with the most queued work, or nullptr. */
    pending_request *largestBacklog() const;

    /** Calls @p visit with each request. */
    template<class Visitor>
    void forEach(Visitor visit)
    {
        for (customer_queue &queue : m_activeQueues) {
            for (pending_request &request : queue.requests) {
                visit(request);
            }
        }
    }

    bool empty() const noexcept
    {
        return m_size == 0;
    }
    std::size_t size() const noexcept
    {
        return m_size;
    }
    /** Sum of the expected run times of the queued requests. */
    time_span work() const noexcept
    {
        return m_work;
    }
    time_span workOf(const customer_id &customer) const;
    /** Customers with queued requests. */
    std::size_t activeCustomers() const noexcept
    {
        return m_activeCount;
    }

private:
    using active_list
        = boost::intrusive::list<customer_queue,
                                 boost::intrusive::member_hook<customer_queue, boost::intrusive::list_member_hook<>, &customer_queue::activeHook>>;

    void unlink(customer_queue &queue, pending_request &request);

    std::unordered_map<customer_id, customer_queue> m_customers;
    active_list m_activeQueues;
    std::size_t m_activeCount = 0;
    std::size_t m_size = 0;
    time_span m_work{};
    time_span m_quantum = std::chrono::milliseconds(1);
};

} // namespace sycamoretray
