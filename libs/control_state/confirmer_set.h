#pragma once

#include "base/ids.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace sycamoretray
{

/**
 * The instances whose majority must answer for evidence and for a takeover, with at most one pending change.
 *
 * Thread safety: none.
 */
class confirmer_set
{
public:
    static constexpr std::size_t maxSize = 9;

    /**
     * Adds or removes a member as change @p number. Returns false and changes nothing if a change is pending, if the number is not the
     * next one, if the member is already there or already absent, or if the set would become empty or too large.
     */
    bool change(std::uint64_t number, const incarnation_id &incarnation, bool add, log_offset offset);

    /** Completes the pending change. Returns false if @p number is not pending. */
    bool settle(std::uint64_t number);

    /** Replaces the set on request of an operator and discards a pending change. */
    void reset(std::set<incarnation_id> members, log_offset offset);

    /** Sets all fields from a snapshot. */
    void restore(std::set<incarnation_id> members, std::set<incarnation_id> previous, std::uint64_t number, bool pending, log_offset offset);

    const std::set<incarnation_id> &members() const noexcept;

    /** The set before the pending change; empty if none is pending. */
    const std::set<incarnation_id> &previous() const noexcept;

    std::uint64_t changeNumber() const noexcept;
    bool pending() const noexcept;

    /** Offset of the record of the newest change. */
    log_offset changeOffset() const noexcept;

    /** True if the incarnation is in the current or the previous set. */
    bool contains(const incarnation_id &incarnation) const;

    /**
     * True if @p predicate is true for more than half of the members and, while a change is pending, for more than half of the previous set.
     * False if there are no members.
     */
    bool hasMajority(const std::function<bool(const incarnation_id &)> &predicate) const;

    /** As hasMajority(), but only for the previous set; true if that is empty. */
    bool hasPreviousMajority(const std::function<bool(const incarnation_id &)> &predicate) const;

private:
    std::set<incarnation_id> m_members;
    std::set<incarnation_id> m_previous;
    std::uint64_t m_number = 0;
    bool m_pending = false;
    log_offset m_offset;
};

} // namespace sycamoretray
