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
    /** Run time that the customer may still use in this turn; negative after an expensive request. */
    time_span credit{};
    boost::intrusive::list_member_hook<> turnHook;
};

/**
 * Queue that serves customers in turn, weighted by run time, and each customer's requests by deadline.
 *
 * Deficit round robin that charges after the fact: a customer is served while its credit is positive, and pays the
 * expected run time when served and the difference to the measured one when answered.
 *
 * The requests belong to the caller and must outlive their stay in the queue. Thread safety: none.
 */
class fair_queue
{
public:
    fair_queue() = default;
    ~fair_queue();
    fair_queue(const fair_queue &) = delete;
    fair_queue &operator=(const fair_queue &) = delete;

    /** Precondition: cost is set and the request is in no other queue. */
    void push(pending_request &request);

    /** Removes and returns the next request, or nullptr. @param quantum  run time granted per turn, more than 0 */
    pending_request *pop(time_span quantum);

    /** Precondition: @p request is in this queue. */
    void remove(pending_request &request);

    /** Charges the difference between the expected and the measured run time of an answered request. */
    void settle(const customer_id &customer, time_span difference);

    /** The request with the latest deadline of the customer with the most queued work, or nullptr. */
    pending_request *largestBacklog() const;

    /** Calls @p visit with each request. */
    template<class Visitor>
    void forEach(Visitor visit)
    {
        for (customer_queue &queue : m_turns) {
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
    /** Sum of the costs of the queued requests. */
    time_span work() const noexcept
    {
        return m_work;
    }
    time_span workOf(const customer_id &customer) const;
    /** Customers with queued requests. */
    std::size_t activeCustomers() const noexcept
    {
        return m_active;
    }

private:
    using turn_list = boost::intrusive::list<customer_queue,
                                             boost::intrusive::member_hook<customer_queue, boost::intrusive::list_member_hook<>, &customer_queue::turnHook>>;

    void take(customer_queue &queue, pending_request &request);

    std::unordered_map<customer_id, customer_queue> m_customers;
    turn_list m_turns;
    std::size_t m_active = 0;
    std::size_t m_size = 0;
    time_span m_work{};
    time_span m_quantum = std::chrono::milliseconds(1);
};

} // namespace sycamoretray
