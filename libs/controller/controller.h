#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "controller/controller_actions.h"
#include "controller/controller_events.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sycamoretray
{

class configuration_set;

/** Times and bounds of the controller. docs/design.md, section 6, gives the reasons. */
struct controller_timing {
    time_span leaseLength = std::chrono::milliseconds(400);
    time_span driftMargin = std::chrono::milliseconds(20);
    time_span evidenceAge = std::chrono::milliseconds(300);
    time_span renewInterval = std::chrono::milliseconds(80);
    time_span probeInterval = std::chrono::milliseconds(100);
    time_span suspectAfter = std::chrono::milliseconds(450);
    time_span serverLostAfter = std::chrono::milliseconds(700);
    time_span takeoverStep = std::chrono::milliseconds(150);
    /** Extra wait before slots leave a server that does not check tokens. */
    time_span dispatchMargin = std::chrono::milliseconds(200);
    time_span logReadWait = std::chrono::milliseconds(100);
    time_span appendTimeout = std::chrono::milliseconds(500);
    /** Past this age of evidence the instance takes no new work from callers. */
    time_span staleLimit = std::chrono::seconds(5);
    time_span snapshotInterval = std::chrono::minutes(5);
    std::uint64_t snapshotRecords = 1000;
};

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
    controller_timing timing;
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
