#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/ownership_timing.h"
#include "controller/controller_actions.h"
#include "controller/controller_events.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sycamoretray
{

class configuration_set;

/** Deliberate defects that tests switch on to show that their checks detect them. All are off in production. */
struct controller_test_faults {
    /** Lease times are computed without the margin for clock drift. */
    bool noDriftMargin = false;
    /** The end of a lease is recorded only when its reply arrives, not when the request is sent. */
    bool leaseFromReplyTime = false;
    /** An append with an unknown result is retried at once under new record ids. */
    bool blindAppendRetry = false;
    /** Changes of the ownership set are not sent to the server and count as acknowledged. */
    bool tokenFromMemory = false;
    /** The records that follow the loaded snapshot are skipped. */
    bool snapshotWithoutTail = false;
    /** A new home does not wait for the leases of earlier homes to expire. */
    bool takeoverWithoutWait = false;
};

struct controller_settings {
    instance_id instance;
    incarnation_id incarnation;
    availability_zone zone;
    network_address peerAddress;
    network_address callerAddress;
    network_address adminAddress;
    ownership_timing timing;
    controller_test_faults faults;
    /** Seed for jitter. */
    std::uint64_t seed = 0;
};

/**
 * Decision logic of an instance: membership, homes, leases, assignment, configuration.
 *
 * It performs no I/O and reads no clock. Each event returns the actions to carry out, in order.
 *
 * Thread safety: none; call from one strand.
 */
class controller
{
public:
    explicit controller(controller_settings settings);
    ~controller();
    controller(controller &&) noexcept;
    controller &operator=(controller &&) noexcept;

    /**
     * Handles one event.
     *
     * Precondition: @p now does not decrease from call to call. The first event is a tick.
     * Errors: invalid input causes no exception; a violated invariant terminates the process with a log line.
     */
    std::vector<controller_action> handle(const controller_event &event, monotonic_time now);

    /** Returns the whole state as JSON text for diagnosis. */
    std::string dump(monotonic_time now) const;

    /** Returns the digest of the replayed state as hexadecimal text. */
    std::string stateDigest() const;

    /** All records below this offset are applied to the replayed state. */
    log_offset position() const;

    /** The documents in force. Valid until the next handle(). */
    const configuration_set &configuration() const;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
