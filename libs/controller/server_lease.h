#pragma once

#include "controller/append_queue.h"
#include "controller/evidence_tracker.h"
#include "controller/lease_machine.h"
#include "controller/peer_monitor.h"

#include <bitset>
#include <map>
#include <optional>
#include <set>

namespace sycamoretray
{

/** Parts of the controller that a lease uses. */
struct lease_services {
    controller_context &context;
    evidence_tracker &evidence;
    peer_monitor &peers;
    append_queue &queue;
};

/**
 * The lease of one server while this instance is its home under one term: first contact, grants, ownership set, loss and return of the server.
 *
 * docs/design.md, section 6, gives the protocol. Thread safety: none.
 */
class server_lease
{
public:
    /** Precondition: the replayed state names this instance as home of @p server under @p term. */
    server_lease(lease_services services, server_id server, home_term term);

    /** Renews the lease, declares the server lost, or marks it up. @p avoid lists servers that should not receive its slots. */
    void tick(const std::vector<server_id> &avoid);
    void handleReply(const lease_reply &reply);
    void handleFailure(const lease_failed &failure);

    /** The replayed state has changed. */
    void stateChanged();

    /** Excludes slots and keys from the ownership set and sends the set at once. */
    void withhold(const std::vector<hash_slot> &slots, const std::set<std::string> &keys);

    /** Undoes all calls of withhold(). */
    void restore();

    /** True if the server has acknowledged the current ownership set. */
    bool ownershipAcknowledged() const noexcept;

    /** True if slots and keys may be moved away, because no lease of another home can be in force. */
    bool mayMoveSlots() const;

    /** Does not count @p gap, in which this process was paused, as time without replies. */
    void excludePause(time_span gap);

    const server_id &server() const noexcept;
    home_term term() const noexcept;
    lease_phase phase() const noexcept;
    const server_state &state() const;

    /** Time since the newest reply, or since the claim if there is none. */
    time_span timeSinceReply() const noexcept;

    /** Slots that a lease granted by this home may still cover. */
    const std::bitset<hashSlotCount> &slotsInForce() const noexcept;
    bool leaseMayBeInForce() const noexcept;

    /** Upper bound of the expiry of the lease. */
    monotonic_time leaseEndBound() const noexcept;

    /** True while the takeover wait cannot start, because no majority of the confirmers has replayed the claim yet. */
    bool needsMajority() const;

private:
    struct sent_request {
        monotonic_time sent;
        /** When the request was sent whose reply carried the challenge; empty if this request asks for no lease. */
        std::optional<monotonic_time> challengeSent;
        std::uint64_t ownershipVersion = 0;
        /** Upper bound of the expiry of the lease that this request asks for. */
        monotonic_time leaseEndBound;
    };

    controller_context &context() const noexcept;
    bool ownsAnything() const;
    bool mayGrant() const;
    /** True if a request should be sent now. */
    bool sendDue() const;
    void send();
    void attachOwnership(send_lease &request);
    /** Creates the next version of the ownership set if its content has changed. */
    void refreshOwnership();
    ownership_set currentOwnership() const;
    /** Decides after a reply whether another lease may be in force. */
    void checkContact(const lease_reply &reply);
    void updateBootId(const lease_reply &reply);
    void recordGrant(const sent_request &request, const lease_reply &reply);
    void updateDraining(const lease_reply &reply);
    void setValidUntil(monotonic_time until);
    /** Records when a majority of the confirmers has replayed the claim. */
    void checkTakeoverMajority();
    /** True if no lease of an earlier home can be in force any more. */
    bool takeoverWaitOver() const;
    void endWait();
    bool lossAllowed() const;
    void decideLoss(const std::vector<server_id> &avoid);
    void markUp();

    lease_services m_services;
    server_id m_server;
    home_term m_term;
    lease_machine m_machine;
    std::map<operation_id, sent_request> m_outstanding;
    monotonic_time m_claimedAt;
    monotonic_time m_lastContact;
    monotonic_time m_answeringSince;
    monotonic_time m_lastSent;
    /** The next request does not wait for the renewal interval. */
    bool m_sendAtOnce = true;
    /** True once it was established that no other lease is in force. */
    bool m_exclusivityEstablished = false;
    /** The server refused the term in its newest reply. */
    bool m_fenced = false;
    std::string m_challenge;
    monotonic_time m_challengeSent;
    monotonic_time m_challengeReceived;
    std::string m_bootId;
    monotonic_time m_leaseEndBound;
    monotonic_time m_validUntil;
    /** End of the wait after a restart of the server; empty during a takeover wait. */
    std::optional<monotonic_time> m_waitUntil;
    /** Grants need evidence that is not older than this. */
    monotonic_time m_evidenceSince;
    std::optional<monotonic_time> m_majorityReachedAt;
    std::shared_ptr<const ownership_set> m_ownership;
    /** Version of the ownership set that the server has acknowledged; 0 if none or unknown. */
    std::uint64_t m_acknowledgedVersion = 0;
    std::set<hash_slot> m_withheldSlots;
    std::set<std::string> m_withheldKeys;
    std::bitset<hashSlotCount> m_slotsInForce;
    std::optional<std::uint64_t> m_lossSequence;
    std::optional<std::uint64_t> m_upSequence;
    /** Since when the server reports another draining state than the replayed one; in the future while a new record is delayed. */
    std::optional<monotonic_time> m_drainReportSince;
};

} // namespace sycamoretray
