#pragma once

#include "base/monotonic_time.h"

#include <cstdint>

namespace sycamoretray
{

/** Durations and limits of the ownership protocol. docs/design.md, section 6, gives the reasons. */
struct ownership_timing {
    time_span leaseLength = std::chrono::milliseconds(400);
    time_span driftMargin = std::chrono::milliseconds(20);
    time_span evidenceAge = std::chrono::milliseconds(300);
    time_span renewInterval = std::chrono::milliseconds(80);
    time_span probeInterval = std::chrono::milliseconds(100);
    time_span suspectAfter = std::chrono::milliseconds(450);
    time_span serverLostAfter = std::chrono::milliseconds(700);
    time_span takeoverStep = std::chrono::milliseconds(150);
    /** Additional wait before hash slots are moved away from a server that does not check fencing tokens. */
    time_span dispatchMargin = std::chrono::milliseconds(200);
    time_span logReadWait = std::chrono::milliseconds(100);
    time_span appendTimeout = std::chrono::milliseconds(500);
    /** Age of evidence beyond which the instance accepts no new requests from callers. */
    time_span staleLimit = std::chrono::seconds(5);
    time_span snapshotInterval = std::chrono::minutes(5);
    std::uint64_t snapshotRecords = 1000;
};

} // namespace sycamoretray
