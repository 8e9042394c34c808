#pragma once

#include "directory/endpoint_directory.h"
#include "key_ownership/assigner_actions.h"
#include "key_ownership/key_load.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamoretray
{

/** Times of the ownership rules; docs/key-ownership.md gives the reasons. */
struct assigner_settings {
    /** Length of a grant. A key whose holder is lost without a word stays unserved for up to this time. */
    time_span grantLength = std::chrono::milliseconds(2500);
    /** Longest grant that endpoints accept. */
    time_span longestGrant = std::chrono::seconds(10);
    /** Leaves a successor of the assigner 1.8 s to renew every grant. */
    time_span renewInterval = std::chrono::milliseconds(700);
    /**
     * Time without a confirmation of its leadership after which an assigner stops renewing. Outages of the store last up to 9 s, and
     * the groups need a moment after it; a successor that cannot reach an endpoint waits for it.
     */
    time_span unconfirmedValidity = std::chrono::seconds(13);
    /** Time between attempts of an order that failed. */
    time_span retryInterval = std::chrono::milliseconds(120);
    /** Share by which an endpoint's clock may run slow. */
    double clockDrift = 0.02;
    /** Covers the time in which a reset reaches the endpoint, and the rounding of timers. */
    time_span lapseMargin = std::chrono::milliseconds(80);
    time_span planInterval = std::chrono::milliseconds(400);
    /** Endpoints register within this time of each other when a site starts; keys are dealt out after it. */
    time_span startInterval = std::chrono::milliseconds(1200);
    /** Time after a move settled in which its keys are not moved again for balance. */
    time_span settleInterval = std::chrono::milliseconds(1000);
    /** Time between probes of an endpoint that did not answer. */
    time_span probeInterval = std::chrono::milliseconds(1000);
    /**
     * Least time between two writes of the record. Each write is read by a relay of every zone and passed on to all instances, so
     * what settles within this time goes into one.
     */
    time_span writeInterval = std::chrono::milliseconds(120);
    /** Moves for balance that may be under way at a time. */
    std::uint32_t concurrentMoves = 8;
};

/**
 * Decides which endpoint holds which keys of one service, and keeps the grants alive.
 *
 * Every change is written to the metadata store before an order follows from it, and the owner of a range is granted nothing
 * before all other possible holders have released it, ended, or lapsed. While a change is on its way to the store, the grants
 * that it replaces are still renewed.
 *
 * Time and events come in, actions go out; there is no I/O. Thread safety: none.
 */
class key_assigner
{
public:
    key_assigner(service_id service, assigner_settings settings);
    ~key_assigner();
    key_assigner(const key_assigner &) = delete;
    key_assigner &operator=(const key_assigner &) = delete;

    /**
     * Takes over. Call once, first.
     *
     * @param record  newest record of the service, or nothing if there never was one
     * @param epoch  producer epoch of this assigner, higher than that of @p record
     * @param assigner  internal address of this instance
     * @param earlierValidity  how long an earlier assigner may go on sending grants; 0 if it has stopped
     */
    void start(std::optional<ownership_record> record, std::uint64_t epoch, network_address assigner, time_span earlierValidity, monotonic_time now);

    /** Every earlier assigner has stopped sending grants. */
    void earlierStopped(monotonic_time now);

    /** Sets the endpoints of the service. */
    void setEndpoints(std::vector<listed_endpoint> endpoints, monotonic_time now);

    void addLoad(const load_report &report, monotonic_time now);

    /** @param success  the store acknowledged the record with this revision; otherwise it certainly has not taken it */
    void recordWritten(std::uint64_t revision, bool success, monotonic_time now);

    /** @param handover  what a release returned */
    void orderDone(order_id order, order_outcome outcome, std::string handover, monotonic_time now);

    /**
     * Returns what is to be done now. Call it after each event and at least every 50 ms.
     *
     * @param mayDecide  this instance is confirmed as the assigner; otherwise grants are only renewed
     */
    std::vector<assigner_action> act(bool mayDecide, monotonic_time now);

    /** Returns the record that says that this assigner has stopped. */
    ownership_record resignation() const;

    /** Current state, for dumps. */
    ownership_record current() const;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
