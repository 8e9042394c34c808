#include "key_ownership/earlier_assigners.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

/** Adds to @p assigners who may send grants according to @p record. */
void addSenders(std::vector<network_address> &assigners, const ownership_record &record)
{
    if (record.resigned) {
        return;
    }
    if (!record.stopped) {
        assigners.push_back(record.assigner);
    }
    if (record.earlierAssigners) {
        assigners.insert(assigners.end(), record.earlierAssigners->begin(), record.earlierAssigners->end());
    } else {
        assigners.emplace_back();
    }
}

} // namespace

earlier_assigners::earlier_assigners(time_span limit)
    : m_limit(limit)
{
}

void earlier_assigners::takeOver(const ownership_view &ownership, const network_address &self, monotonic_time now)
{
    std::uint64_t newestEpoch = 0;
    for (const auto &[service, record] : ownership.records()) {
        newestEpoch = std::max(newestEpoch, record.epoch);
    }
    m_assigners.clear();
    for (const auto &[service, record] : ownership.records()) {
        // The writer of the newest records has considered all older ones.
        if (record.epoch == newestEpoch) {
            addSenders(m_assigners, record);
        }
    }
    std::erase(m_assigners, self);
    std::sort(m_assigners.begin(), m_assigners.end());
    m_assigners.erase(std::unique(m_assigners.begin(), m_assigners.end()), m_assigners.end());
    m_sendUntil = now + m_limit;
}

bool earlier_assigners::remove(const network_address &assigner)
{
    return std::erase(m_assigners, assigner) > 0;
}

bool earlier_assigners::mayBeSending(monotonic_time now) const
{
    return !m_assigners.empty() && now < m_sendUntil;
}

time_span earlier_assigners::remaining(monotonic_time now) const
{
    return mayBeSending(now) ? m_sendUntil - now : time_span::zero();
}

std::vector<network_address> earlier_assigners::known(monotonic_time now) const
{
    std::vector<network_address> result = recorded(now);
    std::erase(result, network_address());
    return result;
}

std::vector<network_address> earlier_assigners::recorded(monotonic_time now) const
{
    return mayBeSending(now) ? m_assigners : std::vector<network_address>();
}

} // namespace sycamoretray
