#pragma once

#include <memory>

namespace sycamoretray
{

enum class leadership_phase {
    /** Another instance assigns keys. */
    following,
    /** The group dealt the assigner's partition to this instance, which is taking over. */
    claiming,
    /** This instance assigns keys. */
    leading,
};

enum class leadership_event {
    /** The group dealt the assigner's partition to this instance. */
    partition_dealt,
    /** The group no longer lists the partition for this instance. */
    partition_taken,
    /** The store accepted this instance's epoch, and all records before it are known. */
    epoch_set,
    /** The store has seen a higher epoch. */
    fenced,
};

/**
 * State machine of an instance's part in assigning keys. An event without a transition in the current phase is ignored.
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
