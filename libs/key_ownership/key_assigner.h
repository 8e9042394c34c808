#pragma once

#include "directory/endpoint_directory.h"
#include "key_ownership/assigner_actions.h"
#include "key_ownership/endpoint_reach.h"
#include "key_ownership/key_load.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamoretray
{

/** Timing of key ownership. See docs/key-ownership.md for the reasons. */
struct assigner_settings {
    /** Validity of a grant. The keys of a holder that stops responding are unserved for up to this time. */
    time_span grantLength = std::chrono::milliseconds(2500);
    /** Longest grant that endpoints accept. */
    time_span longestGrant = std::chrono::seconds(10);
    /** Time between renewals of a grant. Leaves a new assigner 1.8 s to renew every grant before it expires. */
    time_span renewInterval = std::chrono::milliseconds(700);
    /**
     * Time without confirmation of its leadership after which an assigner stops renewing grants. It covers store outages of up to
     * 9 s and the group rebalance that follows. Unless the previous assigner has stopped, a new one waits at least this
     * long before it grants the keys of an unreachable endpoint to another endpoint.
     */
    time_span unconfirmedLeadershipLimit = std::chrono::seconds(13);
    /** Time after which a failed order is retried. */
    time_span retryInterval = std::chrono::milliseconds(120);
    /** Fraction by which an endpoint's clock may run slow. */
    double clockDrift = 0.02;
    /** Added to the expiry of a grant for the time that a connection reset takes to reach the endpoint, and for timer rounding. */
    time_span expiryMargin = std::chrono::milliseconds(80);
    time_span planInterval = std::chrono::milliseconds(400);
    /** Time until the next plan if moves to balance load are left over, because as many as allowed are unsettled. */
    time_span busyPlanInterval = std::chrono::milliseconds(200);
    /**
     * Time without new endpoints after which keys are first assigned. When a deployment starts, its endpoints register within this
     * time of each other.
     */
    time_span initialAssignmentDelay = std::chrono::milliseconds(1200);
    /** Time after a move has settled in which its keys are not moved again to balance load. */
    time_span rebalanceCooldown = std::chrono::milliseconds(1000);
    /** Time between probes of an unresponsive endpoint. */
    time_span probeInterval = std::chrono::milliseconds(1000);
    /**
     * Minimum time between two writes of the record. A relay in every availability zone reads each write and forwards it to all
     * instances, so changes within this time are batched into one write.
     */
    time_span minWriteInterval = std::chrono::milliseconds(120);
    /** Minimum time between two moves of a key to a faster owner. */
    time_span fastOwnerInterval = std::chrono::seconds(5);
    /** Moves to balance load are started only while fewer assignments than this, or than a tenth of the endpoints, are unsettled. */
    std::uint32_t maxConcurrentMoves = 8;
};

/**
 * Decides which endpoint holds which keys of one service, and keeps the grants alive.
 *
 * Every change is written to the metadata store before orders based on it are sent. The owner of a range is granted its keys only
 * after every other possible holder has released them, has terminated, or has no unexpired grant. While a change is being written,
 * the grants that it replaces are still renewed.
 *
 * Performs no I/O: callers pass in events and the current time, and carry out the actions that act() returns. Thread safety: none.
 */
class key_assigner
{
public:
    key_assigner(service_id service, assigner_settings settings);
    ~key_assigner();
    key_assigner(const key_assigner &) = delete;
    key_assigner &operator=(const key_assigner &) = delete;

    /**
     * Takes over the assignment of keys. Call it once, before any other method.
     *
     * @param record  newest record of the service; nullopt if none was ever written
     * @param epoch  producer epoch of this assigner, higher than that of @p record
     * @param assigner  internal address of this instance
     * @param previousAssignerValidity  how long a previous assigner may continue to send grants; 0 if it has stopped
     */
    void start(std::optional<ownership_record> record, std::uint64_t epoch, network_address assigner, time_span previousAssignerValidity, monotonic_time now);

    /**
     * Sets the earlier assigners that may still send grants, which the records name. A change is written with the next record. Call it after start().
     */
    void setEarlierAssigners(std::vector<network_address> assigners);

    /** Reports that every previous assigner has stopped sending grants. */
    void previousAssignerStopped(monotonic_time now);

    /** Starts no moves while @p hold is true, because endpoints that are lost cannot be told from a lost path of this instance. */
    void holdMoves(bool hold);

    /** Replaces the list of endpoints of the service. */
    void setEndpoints(std::vector<listed_endpoint> endpoints, monotonic_time now);

    /** Sets the requests a second that a cold endpoint of the service takes; nothing if they are not limited. */
    void setColdRequestRate(std::optional<request_rate> rate, monotonic_time now);

    void addLoad(const load_report &report, monotonic_time now);

    /**
     * Reports the outcome of write_record.
     *
     * @param success  true if the store acknowledged the record with this revision, false if the record is known not to be stored
     */
    void recordWritten(std::uint64_t revision, bool success, monotonic_time now);

    /** Reports the outcome of an order. */
    void orderDone(order_id order, order_reply reply, monotonic_time now);

    /**
     * Returns the actions to carry out now. Call it after each event and at least every 50 ms.
     *
     * @param mayDecide  whether this instance is confirmed as the assigner; if not, existing grants are renewed and nothing else is done
     */
    std::vector<assigner_action> act(bool mayDecide, monotonic_time now);

    /** Returns the record to store when this assigner has stopped sending grants. */
    ownership_record resignation() const;

    /** Returns whether a record of this assigner is stored, so that it can grant keys. */
    bool isRecorded() const noexcept;

    /** Returns for how many incarnations of endpoints state is kept. Does not grow with the number of restarts. */
    std::size_t rememberedIncarnations() const noexcept;

    /** Returns the current state for diagnostic dumps. */
    ownership_record current() const;

    /** Returns which endpoints answer orders, and how many keys are unserved because their grants were not renewed. */
    endpoint_reach reach(monotonic_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

} // namespace sycamoretray
