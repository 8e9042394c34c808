#pragma once

#include <memory>

namespace sycamoretray
{

enum class leadership_phase {
    /** Another instance assigns keys. */
    following,
    /** The group assigned the assigner's partition to this instance, which is taking over. */
    claiming,
    /** This instance assigns keys. */
    leading,
};

enum class leadership_event {
    /** The group assigned the assigner's partition to this instance. */
    partition_assigned,
    /** The group no longer assigns the partition to this instance. */
    partition_revoked,
    /** The store accepted this instance's producer epoch, and this instance has read all records before it. */
    epoch_set,
    /** The store has seen a higher producer epoch. */
    fenced,
};

/**
 * State machine that tracks whether this instance is the assigner of keys. Ignores events that have no transition from the
 * current phase.
 *
 * Thread safety: none.
 */
class leadership_machine
{
public:
    leadership_machine();
    ~leadership_machine();
    leadership_machine(const leadership_machine &) = delete;
    leadership_machine &operator=(const leadership_machine &) = delete;

    /** Returns whether the phase changed. */
    bool process(leadership_event event);
    leadership_phase phase() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
