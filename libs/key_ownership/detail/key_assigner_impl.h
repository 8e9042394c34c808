#pragma once

#include "key_ownership/detail/assignment.h"
#include "key_ownership/detail/endpoint_contact.h"
#include "key_ownership/detail/holder_lapses.h"
#include "key_ownership/key_assigner.h"
#include "key_ownership/key_load.h"
#include "key_ownership/range_planner.h"

#include <map>
#include <optional>
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

struct open_order {
    order_kind kind = order_kind::grant;
    /** Serial of the assignment; 0 if the order concerns no current one. */
    std::uint64_t serial = 0;
    endpoint_life life;
    monotonic_time sent;
    /** Of a grant. */
    time_span length{};
};

/** Returns the keys as they are written in the event log. Thread-safe. */
inline std::string rangeText(key_range keys)
{
    return std::to_string(keys.first) + "-" + std::to_string(keys.last);
}

} // namespace detail

/** State of a key_assigner, and its decisions. */
struct key_assigner::impl {
    using assignment = detail::assignment;
    using clearing_holder = detail::clearing_holder;
    using held_grant = detail::held_grant;
    using open_order = detail::open_order;
    using order_kind = detail::order_kind;

    struct plan_input {
        std::vector<planning_endpoint> endpoints;
        std::vector<endpoint_life> lives;
        std::vector<planning_range> ranges;
    };

    service_id service;
    assigner_settings settings;
    std::uint64_t epoch = 0;
    network_address assigner;
    std::uint64_t nextToken = 1;
    std::uint64_t lastSerial = 0;
    std::uint64_t lastOrder = 0;
    /** Counts the changes of the record. */
    std::uint64_t revision = 0;
    std::uint64_t written = 0;
    std::optional<std::uint64_t> writeInFlight;
    monotonic_time nextWrite{};
    std::vector<assignment> assignments;
    std::vector<listed_endpoint> endpoints;
    std::map<network_address, endpoint_life> newestAtAddress;
    std::map<endpoint_id, endpoint_life> newestOfId;
    monotonic_time endpointsGrewAt{};
    monotonic_time balanceFrom{};
    monotonic_time nextPlan{};
    detail::holder_lapses lapses;
    /** Longest grant that an earlier assigner may have sent. */
    time_span inheritedLength{};
    detail::endpoint_contact contact;
    /** Lives that have ended, and the life that has their address now. */
    std::map<endpoint_life, endpoint_life> endedLives;
    std::map<order_id, open_order> orders;
    std::map<endpoint_life, std::uint32_t> grantsInFlight;
    key_load load;
    std::vector<assigner_action> actions;

    // Endpoints and their lives. Defined in key_assigner.cpp.
    impl(service_id givenService, assigner_settings givenSettings);
    const listed_endpoint *listed(const endpoint_life &life) const;
    bool isUsable(const listed_endpoint &endpoint) const;
    /** Most endpoints out of contact at once: this instance is cut off, rather than all of them lost. */
    bool isCutOff() const;
    /** Returns the later process at the same address or under the same id, which shows that @p life has ended; else nullptr. */
    const endpoint_life *successorOf(const endpoint_life &life) const;
    void indexEndpoints();
    void noteEndedLives();
    /**
     * Orders go to an address: what was granted to a life after its end, its successor has accepted. The successor therefore takes
     * its place among those that may hold keys.
     */
    void endLife(const endpoint_life &life, const endpoint_life &successor);
    /** Returns the life that has the address of @p life now. */
    endpoint_life presentLife(endpoint_life life) const;
    ownership_record toOwnershipRecord() const;

    // Assignments, and which of them move. Defined in key_assigner_planning.cpp.
    std::size_t indexOf(std::uint32_t key) const;
    assignment *bySerial(std::uint64_t serial);
    /** Splits assignments so that one covers exactly @p keys. Precondition: one assignment contains them all. */
    assignment &isolate(key_range keys);
    void retarget(assignment &subject, const endpoint_life &owner, std::string_view reason, monotonic_time now);
    void settle(assignment &subject, monotonic_time now);
    bool mayStart(monotonic_time now) const;
    plan_input planInput(monotonic_time now) const;
    void plan(monotonic_time now);
    /** Gives a higher token to owners that have seen one. */
    void renewTokens(monotonic_time now);
    void apply(const std::vector<planned_move> &moves, const plan_input &input, std::string_view reason, monotonic_time now);
    bool mayJoin(const assignment &left, const assignment &right) const;
    void joinNeighbours(std::size_t usableEndpoints);

    // Orders to endpoints, and their outcomes. Defined in key_assigner_orders.cpp.
    void note(std::string event, std::vector<std::pair<std::string, std::string>> fields);
    order_id open(order_kind kind, std::uint64_t serial, const endpoint_life &life, monotonic_time now);
    order_id grant(std::uint64_t serial, const held_grant &held, const std::string &handover, monotonic_time now);
    /** Latest time at which a grant that arrived up to @p now lapses on the endpoint's clock. */
    monotonic_time lapseOfGrant(monotonic_time now, time_span length) const;
    bool holdsNothing(const endpoint_life &life, monotonic_time now) const;
    /** Longer with many ranges, so that renewals take a bounded part of the assigner's processor. */
    time_span renewInterval() const;
    time_span grantLength() const;
    /**
     * Without a confirmation, another assigner may have taken over. Only grants that were renewed without a break are renewed
     * then: after a break the endpoint may have been restarted, and would accept a token that has been superseded.
     */
    void advance(assignment &subject, bool mayDecide, monotonic_time now);
    void renewReplaced(assignment &subject, monotonic_time now);
    void clearHolders(assignment &subject, monotonic_time now);
    void grantDone(const open_order &order, order_id id, order_outcome outcome, monotonic_time now);
    void releaseDone(const open_order &order, order_id id, order_outcome outcome, std::string handover, monotonic_time now);
};

} // namespace sycamoretray
