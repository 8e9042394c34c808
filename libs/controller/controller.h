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

/** Deliberate defects, so that tests can show that the checker finds them. All off outside tests. */
struct controller_test_faults {
    bool noDriftMargin = false;
    bool leaseFromReplyTime = false;
    bool blindAppendRetry = false;
    bool tokenFromMemory = false;
    bool snapshotWithoutTail = false;
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
 * It does no I/O and reads no clock. Each event returns the actions to carry out, in order.
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
     * Errors: input from outside never throws; a violated internal invariant terminates the process with a log line.
     */
    std::vector<controller_action> handle(const controller_event &event, monotonic_time now);

    /** Returns the whole state as JSON text, for the dump. */
    std::string dump(monotonic_time now) const;

    /** Returns the digest of the replayed state as hexadecimal text. */
    std::string stateDigest() const;

    /** The state reflects all records below this offset. */
    log_offset position() const;

    /** The documents in force. Valid until the next handle(). */
    const configuration_set &configuration() const;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
