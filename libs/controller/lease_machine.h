#pragma once

#include <memory>

namespace sycamoretray
{

/** Phases of the lease between a home and its server. */
enum class lease_phase {
    /** No reply has shown yet whether another lease may be in force. */
    contacting,
    /** Another lease may be in force; nothing is granted until it has expired. */
    waiting,
    /** Leases are renewed. */
    granting,
    /** server_lost is queued for the log but not replayed; nothing is granted. */
    declared_lost,
    /** The server is not up in the replayed state and owns nothing. */
    down,
};

enum class lease_event {
    /** A reply shows that no other lease is in force. */
    no_other_lease,
    /** A reply shows that another lease may be in force. */
    other_lease_possible,
    /** The server was restarted while a lease may be in force. */
    boot_changed,
    wait_over,
    loss_decided,
    /** server_lost had no effect or was cancelled. */
    loss_cancelled,
    marked_lost,
    marked_up,
};

/**
 * State machine of the lease of one server under one home term.
 *
 * An event without a transition in the current phase is ignored. Thread safety: none.
 */
class lease_machine
{
public:
    /** Starts in contacting if the server is up in the replayed state, else in down. */
    explicit lease_machine(bool serverIsUp);
    ~lease_machine();
    lease_machine(lease_machine &&) noexcept;
    lease_machine &operator=(lease_machine &&) noexcept;

    void process(lease_event event);
    lease_phase phase() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
