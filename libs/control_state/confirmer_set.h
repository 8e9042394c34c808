#pragma once

#include "base/ids.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace sycamoretray
{

/**
 * The instances whose majority counts for evidence and takeover, with at most one pending change.
 *
 * Thread safety: none.
 */
class confirmer_set
{
public:
    static constexpr std::size_t maximumSize = 9;

    /** Starts change @p number. Returns false and changes nothing if it is not valid now. */
    bool change(std::uint64_t number, const incarnation_id &incarnation, bool add, log_offset offset);

    /** Ends the pending change. Returns false if @p number is not pending. */
    bool settle(std::uint64_t number);

    /** Replaces the set by an operator's order and drops a pending change. */
    void reset(std::set<incarnation_id> members, log_offset offset);

    /** Restores a snapshot. */
    void restore(std::set<incarnation_id> members, std::set<incarnation_id> previous, std::uint64_t number, bool pending, log_offset offset);

    const std::set<incarnation_id> &members() const noexcept;

    /** The set before the pending change; empty if none is pending. */
    const std::set<incarnation_id> &previous() const noexcept;

    std::uint64_t changeNumber() const noexcept;
    bool pending() const noexcept;

    /** Offset of the newest change. */
    log_offset changeOffset() const noexcept;

    /** In the current or the previous set. */
    bool contains(const incarnation_id &incarnation) const;

    /** True if @p holds for more than half of the members and, while a change is pending, of the previous set. False if there are no members. */
    bool majority(const std::function<bool(const incarnation_id &)> &holds) const;

    /** As majority(), of the previous set only; true if that is empty. */
    bool previousMajority(const std::function<bool(const incarnation_id &)> &holds) const;

private:
    std::set<incarnation_id> m_members;
    std::set<incarnation_id> m_previous;
    std::uint64_t m_number = 0;
    bool m_pending = false;
    log_offset m_offset;
};

} // namespace sycamoretray
