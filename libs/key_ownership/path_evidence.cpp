#include "key_ownership/path_evidence.h"

namespace sycamoretray
{

namespace
{

// One endpoint that is lost leaves several orders unanswered in a row, if no other endpoint is due.
constexpr std::size_t endpointsForDoubt = 2;

} // namespace

void path_evidence::answered() noexcept
{
    m_unanswered.clear();
}

void path_evidence::unanswered(const endpoint_id &endpoint)
{
    m_unanswered.insert(endpoint);
}

bool path_evidence::isUnanswered(const endpoint_id &endpoint) const
{
    return m_unanswered.contains(endpoint);
}

bool path_evidence::isPathDoubtful() const noexcept
{
    return m_unanswered.size() >= endpointsForDoubt;
}

} // namespace sycamoretray
