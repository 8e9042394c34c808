#pragma once

#include "dispatch/server_dispatcher.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <cstdint>
#include <vector>

namespace sycamoretray
{

struct customer_queue;

enum class pending_state {
    queued,
    /** Waits because its hash slot is held. */
    held,
    /** Waits for the time of its retry. */
    retry_wait,
    /** Suspected of crashing the server; waits to run alone. */
    suspect_wait,
    running,
    /** Duplicate of a request that is queued or running; waits for its outcome. */
    duplicate_wait,
};

/** An unfinished request, with its hooks for the containers of the dispatcher. */
struct pending_request {
    using tree_hook = boost::intrusive::set_member_hook<>;
    using list_hook = boost::intrusive::list_member_hook<>;

    dispatch_request request;
    pending_state state = pending_state::queued;
    std::uint64_t sequence = 0;
    bool isLong = false;
    /** True once the caller has its outcome; the request may still run on the server. */
    bool callerFinished = false;
    /** An earlier attempt was sent and not refused, so the outcome can no longer be "not run". */
    bool mayHaveRun = false;
    bool cancelled = false;
    bool runsAlone = false;
    std::uint32_t attempts = 0;
    result_code failure = result_code::server_connection_lost;
    /** Expected run time when the request was queued; the queues add and subtract this value. */
    time_span cost{};
    monotonic_time sentAt;
    monotonic_time retryAt;
    customer_queue *customer = nullptr;
    /** For a duplicate, the request whose outcome it waits for. */
    pending_request *primary = nullptr;
    std::vector<pending_request *> waitingDuplicates;

    tree_hook deadlineHook;
    /** Member of a customer's queue or of the retry queue. */
    tree_hook queueHook;
    /** Member of the running, held or suspect list. */
    list_hook listHook;
};

struct earlier_deadline {
    bool operator()(const pending_request &a, const pending_request &b) const noexcept
    {
        if (a.request.deadline != b.request.deadline) {
            return a.request.deadline < b.request.deadline;
        }
        return a.sequence < b.sequence;
    }
};

struct earlier_retry {
    bool operator()(const pending_request &a, const pending_request &b) const noexcept
    {
        return a.retryAt < b.retryAt;
    }
};

using deadline_order = boost::intrusive::multiset<pending_request,
                                                  boost::intrusive::member_hook<pending_request, pending_request::tree_hook, &pending_request::deadlineHook>,
                                                  boost::intrusive::compare<earlier_deadline>>;
using deadline_queue = boost::intrusive::multiset<pending_request,
                                                  boost::intrusive::member_hook<pending_request, pending_request::tree_hook, &pending_request::queueHook>,
                                                  boost::intrusive::compare<earlier_deadline>>;
using retry_queue = boost::intrusive::multiset<pending_request,
                                               boost::intrusive::member_hook<pending_request, pending_request::tree_hook, &pending_request::queueHook>,
                                               boost::intrusive::compare<earlier_retry>>;
using pending_list
    = boost::intrusive::list<pending_request, boost::intrusive::member_hook<pending_request, pending_request::list_hook, &pending_request::listHook>>;

} // namespace sycamoretray
