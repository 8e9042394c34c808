#pragma once

#include "key_ownership/detail/assignment.h"
#include "key_ownership/detail/holder_expiries.h"
#include "key_ownership/detail/responsiveness_tracker.h"
#include "key_ownership/key_assigner.h"
#include "key_ownership/key_load.h"
#include "key_ownership/range_planner.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

namespace detail
{

enum class order_kind {
    grant,
    release,
    probe,
};

struct pending_order {
    order_kind kind = order_kind::grant;
    /** Serial of the assignment; 0 for a probe. */
    std::uint64_t serial = 0;
    endpoint_incarnation incarnation;
    monotonic_time sent;
    /** Validity of the grant, if the order is one. */
    time_span length{};
};

/** Formats a range of keys for the event log. Thread-safe. */
inline std::string rangeText(key_range keys)
{
    return std::to_string(keys.first) + "-" + std::to_string(keys.last);
}

} // namespace detail

/** State of a key_assigner and its decision logic. */
struct key_assigner::impl {
    using assignment = detail::assignment;
    using other_holder = detail::other_holder;
    using held_grant = detail::held_grant;
    using pending_order = detail::pending_order;
    using order_kind = detail::order_kind;

    struct plan_input {
        std::vector<planning_endpoint> endpoints;
        std::vector<endpoint_incarnation> incarnations;
        std::vector<planning_range> ranges;
    };

    service_id service;
    assigner_settings settings;
    std::uint64_t epoch = 0;
    network_address assigner;
    /** Earlier assigners that may still send grants. */
    std::vector<network_address> earlierAssigners;
    std::uint64_t nextToken = 1;
    std::uint64_t lastSerial = 0;
    std::uint64_t lastOrder = 0;
    /** Revision of the current record; incremented with each change. */
    std::uint64_t revision = 0;
    std::uint64_t writtenRevision = 0;
    std::optional<std::uint64_t> writeInFlight;
    monotonic_time nextWrite{};
    std::vector<assignment> assignments;
    std::vector<listed_endpoint> endpoints;
    /** Requests a second that a cold endpoint takes. */
    std::optional<request_rate> coldRequestRate;
    std::map<network_address, endpoint_incarnation> newestAtAddress;
    std::map<endpoint_id, endpoint_incarnation> newestById;
    monotonic_time lastEndpointAddedAt{};
    monotonic_time balanceNotBefore{};
    monotonic_time nextPlan{};
    /** See key_assigner::holdMoves(). */
    bool movesHeld = false;
    /** End of the time in which the endpoints are found responsive again after most were not. */
    monotonic_time movesNotBefore{};
    detail::holder_expiries expiries;
    /** Maximum validity of grants sent by a previous assigner. */
    time_span inheritedGrantLength{};
    detail::responsiveness_tracker responsiveness;
    /** Maps each terminated incarnation to the one that replaced it at its address or under its id. */
    std::map<endpoint_incarnation, endpoint_incarnation> endedIncarnations;
    /** Incarnations at whose address another process answers, before the directory says so. */
    std::set<endpoint_incarnation> terminatedIncarnations;
    std::map<order_id, pending_order> orders;
    std::map<endpoint_incarnation, std::uint32_t> grantsInFlight;
    /** Keys that were moved to a faster owner in the last fastOwnerInterval, with the time of the move. */
    std::map<std::uint32_t, monotonic_time> fastOwnerSince;
    key_load load;
    std::vector<assigner_action> actions;

    // Endpoints and their incarnations. Defined in key_assigner.cpp.
    impl(service_id givenService, assigner_settings givenSettings);
    const listed_endpoint *findListed(const endpoint_incarnation &incarnation) const;
    bool isUsable(const listed_endpoint &endpoint) const;
    /** Returns whether the incarnation owns a range of keys or has not released one. */
    bool mayHoldKeys(const endpoint_incarnation &incarnation) const;
    /** Indicates that this instance, rather than each of the endpoints, has probably lost its network connection. */
    bool mostEndpointsUnresponsive() const;
    /** Returns the later incarnation at the same address or under the same id, which proves that @p incarnation has terminated; else nullptr. */
    const endpoint_incarnation *successorOf(const endpoint_incarnation &incarnation) const;
    /** Returns whether the process of @p incarnation is known to have terminated. */
    bool hasTerminated(const endpoint_incarnation &incarnation) const;
    /** Records that another process rejects orders for @p incarnation at its address, so that it has terminated and holds nothing. */
    void recordTermination(const endpoint_incarnation &incarnation, monotonic_time now);
    void indexEndpoints();
    void detectEndedIncarnations();
    /** Returns the incarnations that an assignment or the directory names. */
    std::set<endpoint_incarnation> knownIncarnations() const;
    /** Forgets incarnations that no assignment, order or entry of the directory names any more. */
    void forgetUnreferenced(monotonic_time now);
    /**
     * Marks @p incarnation as terminated. Orders are sent to an address, so its successor may have accepted grants that were sent
     * after it terminated; the successor therefore replaces it among the possible holders of keys.
     */
    void replaceIncarnation(const endpoint_incarnation &incarnation, const endpoint_incarnation &successor);
    /** Returns @p incarnation, or its latest successor if it has terminated. */
    endpoint_incarnation currentIncarnation(endpoint_incarnation incarnation) const;
    void recordResponsiveness(const endpoint_incarnation &incarnation, order_kind kind, order_outcome outcome, monotonic_time now);
    ownership_record toOwnershipRecord() const;

    // Assignments and the planning of moves. Defined in key_assigner_planning.cpp.
    std::size_t indexOf(std::uint32_t key) const;
    assignment *findBySerial(std::uint64_t serial);
    /** Splits assignments so that one covers exactly @p keys. Precondition: one assignment contains them all. */
    assignment &splitOff(key_range keys);
    void reassign(assignment &subject, const endpoint_incarnation &owner, std::string_view reason, monotonic_time now);
    void settle(assignment &subject, monotonic_time now);
    bool mayAssign(monotonic_time now) const;
    /** Slowness of an endpoint for the planner, with failures, the request limit and the cold request rate counted in. */
    double plannedSlowness(const listed_endpoint &endpoint, double slots, monotonic_time now) const;
    plan_input planInput(monotonic_time now) const;
    void plan(monotonic_time now);
    /** Returns how many moves to balance load may start now. */
    std::size_t balancingMoves(std::size_t usableEndpoints) const;
    void balance(range_planner &planner, const plan_input &input, monotonic_time now);
    /** Reserves tokens for grants to the owner of an assignment. */
    fencing_token reserveTokens();
    /** Assigns new tokens where the owner has seen a higher token than that of its grant, and where all tokens were used. */
    void renewTokens(monotonic_time now);
    void apply(const std::vector<planned_move> &moves, const plan_input &input, std::string_view reason, monotonic_time now);
    bool mayJoin(const assignment &left, const assignment &right) const;
    void joinNeighbours(std::size_t usableEndpoints);

    // Orders to endpoints and their outcomes. Defined in key_assigner_orders.cpp.
    void note(std::string event, std::vector<std::pair<std::string, std::string>> fields);
    order_id openOrder(order_kind kind, std::uint64_t serial, const endpoint_incarnation &incarnation, monotonic_time now);
    /** @param connection  connection on which the token was sent before; nullopt for a new token */
    order_id grant(std::uint64_t serial, const held_grant &held, std::optional<connection_number> connection, const std::string &handover, monotonic_time now);
    /** Returns the latest time at which a grant that arrived by @p now expires on the endpoint's clock. */
    monotonic_time grantExpiry(monotonic_time now, time_span length) const;
    bool holdsNothing(const endpoint_incarnation &incarnation, monotonic_time now) const;
    /** Returns an interval that grows with the number of ranges, so that renewals use a bounded share of the processor. */
    time_span renewInterval() const;
    time_span grantLength() const;
    /**
     * Sends the renewals, releases and grants of an assignment that are due.
     *
     * Without confirmed leadership (@p mayDecide is false), another assigner may have taken over. Only grants that were renewed
     * without a gap are renewed then, on the connection on which they were accepted: another process at the endpoint's address has seen
     * no token of the other assigner and would accept a superseded one.
     */
    void sendDueOrders(assignment &subject, bool mayDecide, monotonic_time now);
    void renewReplacedGrants(assignment &subject, monotonic_time now);
    void releaseOtherHolders(assignment &subject, monotonic_time now);
    void grantDone(const pending_order &order, order_id id, const order_reply &reply, monotonic_time now);
    /** Takes the next token for a grant that may reach another process than the grants before. Returns false if none is left. */
    bool takeToken(assignment &subject);
    void grantOwner(assignment &subject, monotonic_time now);
    void grantFailed(assignment &subject, const pending_order &order, order_outcome outcome, monotonic_time now);
    void releaseDone(const pending_order &order, order_id id, order_reply reply, monotonic_time now);
};

} // namespace sycamoretray
