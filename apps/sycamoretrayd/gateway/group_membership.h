#pragma once

#include "executor/serial_executor.h"
#include "metadata_store/metadata_store.h"

#include <functional>
#include <memory>
#include <string>

namespace sycamoretray
{

struct group_settings {
    std::string group;
    /** Name of this process in the group; unique to the incarnation. */
    std::string member;
    /** Topic whose partitions are assigned to the members. */
    std::string topic;
    /** Time without a join after which the store removes the member. */
    time_span timeToLive{};
};

/**
 * Membership in a group of the store. The leader of the group is the member to which the store has assigned the first partition.
 * The membership is confirmed by repeated joins.
 *
 * Thread safety: none; used on the strand of its executor.
 */
class group_membership
{
public:
    /** @param answered  called after each join that the store answered */
    group_membership(metadata_store &store, serial_executor executor, group_settings settings, std::function<void()> answered);

    /** No callback runs afterwards. The membership expires in the store unless leave() was called. */
    ~group_membership();
    group_membership(const group_membership &) = delete;
    group_membership &operator=(const group_membership &) = delete;

    void start();

    /** Joins now instead of at the next regular time, unless a join is in flight. Precondition: start() was called. */
    void joinNow();

    /** Ends the membership in the store. */
    void leave();

    /** Returns whether the first partition was assigned to this member by the last answer. */
    bool isLeader() const noexcept;

    /**
     * When the last join was sent whose answer made this member the leader. The store does not expire the leadership before the time to live
     * counted from then.
     */
    monotonic_time leadershipConfirmedAt() const noexcept;

    /** When the last join was sent. */
    monotonic_time lastJoinAt() const noexcept;

    /** When the store last answered a join. */
    monotonic_time lastAnswerAt() const noexcept;

    std::uint64_t generation() const noexcept;

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
