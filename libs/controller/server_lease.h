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
 * The lease of one server while this instance is its home under one term: contact, grants, ownership set, loss and return.
 *
 * docs/design.md, section 6, gives the protocol. Thread safety: none.
 */
class server_lease
{
public:
    /** Precondition: the replayed state names this instance as home of @p server under @p term. */
    server_lease(lease_services services, server_id server, home_term term);

    /** Renews, decides on a loss, marks the server up. @p avoid lists servers that should not receive its slots. */
    void tick(const std::vector<server_id> &avoid);
    void handleReply(const lease_reply &reply);
    void handleFailure(const lease_failed &failure);

    /** The replayed state has changed. */
    void stateChanged();

    /** Excludes slots and keys from the ownership set and sends it at once. */
    void withhold(const std::vector<hash_slot> &slots, const std::set<std::string> &keys);

    /** Ends withhold(). */
    void restore();

    /** The server has acknowledged the current ownership set. */
    bool ownershipAcknowledged() const noexcept;

    /** Slots and keys may be moved away: no lease of another home can be in force. */
    bool mayMoveSlots() const;

    /** Prolongs the silence by @p gap: this process was paused. */
    void forgive(time_span gap);

    const server_id &server() const noexcept;
    home_term term() const noexcept;
    lease_phase phase() const noexcept;
    const server_state &state() const;

    /** Time since the newest reply, or since the claim. */
    time_span silence() const noexcept;

    /** Slots that a lease given by this home may still cover. */
    const std::bitset<hashSlotCount> &slotsInForce() const noexcept;
    bool leaseMayBeInForce() const noexcept;

    /** Upper bound of the lapse of the lease. */
    monotonic_time boundUntil() const noexcept;

    /** The case 3 wait needs a majority of confirmers that has not been seen yet. */
    bool needsMajority() const;

private:
    struct sent_request {
        monotonic_time sent;
        /** When the request was sent whose reply carried the challenge; nothing if no lease was asked for. */
        std::optional<monotonic_time> challengeSent;
        std::uint64_t ownershipVersion = 0;
        /** Upper bound of the lapse of the lease that this request gives. */
        monotonic_time boundUntil;
    };

    controller_context &context() const noexcept;
    bool ownsAnything() const;
    bool mayGrant() const;
    bool sendDue() const;
    void send();
    void attachOwnership(send_lease &request);
    void refreshOwnership();
    ownership_set currentOwnership() const;
    void checkContact(const lease_reply &reply);
    void noteBoot(const lease_reply &reply);
    void noteGrant(const sent_request &request, const lease_reply &reply);
    void noteDraining(const lease_reply &reply);
    void setValidUntil(monotonic_time until);
    void watchTakeover();
    bool takeoverOver() const;
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
    bool m_urgent = true;
    bool m_everSafe = false;
    bool m_fenced = false;
    std::string m_challenge;
    monotonic_time m_challengeSent;
    monotonic_time m_challengeReceived;
    std::string m_bootId;
    monotonic_time m_boundUntil;
    monotonic_time m_validUntil;
    std::optional<monotonic_time> m_waitUntil;
    monotonic_time m_evidenceSince;
    std::optional<monotonic_time> m_majorityAt;
    std::shared_ptr<const ownership_set> m_ownership;
    std::uint64_t m_acknowledged = 0;
    std::set<hash_slot> m_withheldSlots;
    std::set<std::string> m_withheldKeys;
    std::bitset<hashSlotCount> m_inForce;
    std::optional<std::uint64_t> m_lossSequence;
    std::optional<std::uint64_t> m_upSequence;
    std::optional<monotonic_time> m_drainWish;
};

} // namespace sycamoretray
