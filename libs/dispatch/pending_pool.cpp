#include "dispatch/pending_pool.h"

namespace sycamoretray
{

pending_request &pending_pool::add(dispatch_request &&request)
{
    if (m_free.empty()) {
        m_free.push_back(&m_storage.emplace_back());
    }
    pending_request &result = *m_free.back();
    m_free.pop_back();
    result.request = std::move(request);
    result.state = pending_state::queued;
    result.sequence = ++m_sequence;
    result.isLong = result.callerFinished = result.mayHaveRun = result.cancelled = result.runsAlone = false;
    result.attempts = 0;
    result.failure = result_code::server_connection_lost;
    m_byId.emplace(result.request.id.value(), &result);
    return result;
}

pending_request *pending_pool::find(dispatch_id id) const noexcept
{
    const auto found = m_byId.find(id.value());
    return found == m_byId.end() ? nullptr : found->second;
}

void pending_pool::release(pending_request &request)
{
    m_byId.erase(request.request.id.value());
    request.request.payload.reset();
    request.waitingDuplicates.clear();
    request.primary = nullptr;
    request.customer = nullptr;
    m_free.push_back(&request);
}

} // namespace sycamoretray
