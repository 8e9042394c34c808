#pragma once

#include "directory/endpoint_directory.h"
#include "permits/permit_message.h"
#include "permits/permit_pool.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sycamoretray
{

/** Names a queue: that of an owner of keys, or that of a service's endpoints in one zone. */
struct permit_pool_name {
    std::optional<endpoint_life> owner;
    service_id service;
    availability_zone zone;

    explicit permit_pool_name(const permit_request &request);
    /** Text from which the keeper of the queue is chosen; the lives of an endpoint have the same. */
    std::string text() const;

    friend bool operator<(const permit_pool_name &left, const permit_pool_name &right) noexcept;
};

/**
 * Keeps the queues for which other instances ask this one. Any instance can keep any queue; who is asked follows from
 * rankKeepers(). If two keep the same queue for a moment, its endpoints get more requests than they have worker slots, which they
 * queue or refuse.
 *
 * Thread safety: none.
 */
class permit_keeper
{
public:
    explicit permit_keeper(permit_port &port);

    void setEndpoints(const std::map<endpoint_id, listed_endpoint> &endpoints, monotonic_time now);

    /** Takes a message from the instance at @p from. Other kinds of messages are ignored. */
    void received(const network_address &from, const permit_message &message, monotonic_time now);

    /** Sends those that wait to other keepers, and takes no more questions. Permits in use can still be given back. */
    void resign();

    /** Does what is due. Call it at nextDue(). */
    void advance(monotonic_time now);
    monotonic_time nextDue(monotonic_time now) const;

    std::size_t waiting() const noexcept;
    std::size_t inUse() const noexcept;

private:
    void asked(const network_address &from, const permit_request &request, monotonic_time now);
    void returned(const network_address &from, const permit_return &message, monotonic_time now);
    /** Returns the pool, made if it is new; nullptr if no endpoint of it is known. */
    permit_pool *poolOf(const permit_pool_name &name);
    void fill(const permit_pool_name &name, permit_pool &pool) const;
    void decide(const permit_pool_name &name, monotonic_time now);
    /** Forgets permits that were taken for lost, and pools without endpoints and permits. */
    void forgetEnded();

    permit_port &m_port;
    bool m_resigned = false;
    std::map<endpoint_id, listed_endpoint> m_endpoints;
    std::map<permit_pool_name, permit_pool> m_pools;
    /** Pool of each permit that is waited for or in use. */
    std::map<permit_holder, permit_pool_name> m_holders;
};

} // namespace sycamoretray
