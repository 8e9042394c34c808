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
    /** Name of this process in the group; another process has another one. */
    std::string member;
    /** Topic whose partitions are dealt among the members. */
    std::string topic;
    /** Silence after which the store takes the member for lost. */
    time_span timeToLive{};
};

/**
 * Membership in a group of the store. The member to which the store deals the first partition is the group's leader.
 *
 * Thread safety: none; used on the strand of its executor.
 */
class group_membership
{
public:
    /** @param answered  called after each join that the store answered */
    group_membership(metadata_store &store, serial_executor executor, group_settings settings, std::function<void()> answered);

    /** No callback runs afterwards; the store notices the end of the membership by silence. */
    ~group_membership();
    group_membership(const group_membership &) = delete;
    group_membership &operator=(const group_membership &) = delete;

    void start();

    /** Ends the membership. */
    void leave();

    /** The newest answer dealt the first partition to this member. */
    bool leads() const noexcept;

    /** When the newest join was sent that was answered so; the store has not given the lead away for silence before a time to live after it. */
    monotonic_time leadConfirmed() const noexcept;

    /** When the store answered last. */
    monotonic_time lastAnswer() const noexcept;

    std::uint64_t generation() const noexcept;

private:
    struct impl;
    std::shared_ptr<impl> d;
};

} // namespace sycamoretray
