#include "control_state/confirmer_set.h"

#include <algorithm>

namespace sycamoretray
{

namespace
{

bool trueForMajority(const std::set<incarnation_id> &members, const std::function<bool(const incarnation_id &)> &predicate)
{
    const auto count = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), predicate));
    return 2 * count > members.size();
}

} // namespace

bool confirmer_set::change(std::uint64_t number, const incarnation_id &incarnation, bool add, log_offset offset)
{
    if (m_pending || number != m_number + 1 || m_members.contains(incarnation) == add) {
        return false;
    }
    // An empty set has no majority, so the last member cannot be removed.
    if (add ? m_members.size() >= maxSize : m_members.size() <= 1) {
        return false;
    }
    m_previous = m_members;
    if (add) {
        m_members.insert(incarnation);
    } else {
        m_members.erase(incarnation);
    }
    m_number = number;
    m_pending = true;
    m_offset = offset;
    return true;
}

bool confirmer_set::settle(std::uint64_t number)
{
    if (!m_pending || number != m_number) {
        return false;
    }
    m_pending = false;
    m_previous.clear();
    return true;
}

void confirmer_set::reset(std::set<incarnation_id> members, log_offset offset)
{
    m_members = std::move(members);
    m_previous.clear();
    m_pending = false;
    ++m_number;
    m_offset = offset;
}

void confirmer_set::restore(std::set<incarnation_id> members, std::set<incarnation_id> previous, std::uint64_t number, bool pending, log_offset offset)
{
    m_members = std::move(members);
    m_previous = std::move(previous);
    m_number = number;
    m_pending = pending;
    m_offset = offset;
}

const std::set<incarnation_id> &confirmer_set::members() const noexcept
{
    return m_members;
}

const std::set<incarnation_id> &confirmer_set::previous() const noexcept
{
    return m_previous;
}

std::uint64_t confirmer_set::changeNumber() const noexcept
{
    return m_number;
}

bool confirmer_set::pending() const noexcept
{
    return m_pending;
}

log_offset confirmer_set::changeOffset() const noexcept
{
    return m_offset;
}

bool confirmer_set::contains(const incarnation_id &incarnation) const
{
    return m_members.contains(incarnation) || m_previous.contains(incarnation);
}

bool confirmer_set::hasMajority(const std::function<bool(const incarnation_id &)> &predicate) const
{
    return trueForMajority(m_members, predicate) && hasPreviousMajority(predicate);
}

bool confirmer_set::hasPreviousMajority(const std::function<bool(const incarnation_id &)> &predicate) const
{
    return m_previous.empty() || trueForMajority(m_previous, predicate);
}

} // namespace sycamoretray
