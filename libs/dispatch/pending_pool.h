#pragma once

#include "dispatch/pending_request.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <vector>

namespace sycamoretray
{

/** Object pool of the unfinished requests, which avoids an allocation per request. Thread safety: none. */
class pending_pool
{
public:
    /** Stores @p request. Precondition: no stored request has the same dispatch id. */
    pending_request &add(dispatch_request &&request);

    /** Returns the request, or nullptr. */
    pending_request *find(dispatch_id id) const noexcept;

    /** Precondition: @p request is in no container. */
    void release(pending_request &request);

    std::size_t size() const noexcept
    {
        return m_byId.size();
    }

private:
    std::deque<pending_request> m_storage;
    std::vector<pending_request *> m_free;
    boost::unordered_flat_map<std::uint64_t, pending_request *> m_byId;
    std::uint64_t m_sequence = 0;
};

} // namespace sycamoretray
