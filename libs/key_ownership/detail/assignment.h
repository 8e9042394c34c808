#pragma once

#include "key_ownership/assigner_actions.h"
#include "key_ownership/ownership_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sycamoretray::detail
{

/** A grant held by an endpoint, which may differ from the newest assignment. */
struct held_grant {
    endpoint_incarnation incarnation;
    key_range keys;
    fencing_token token;
    connection_number connection;
};

/** An incarnation other than the owner that may hold the keys of an assignment. */
struct other_holder {
    endpoint_incarnation incarnation;
    /** Release order in flight. */
    std::optional<order_id> order;
    monotonic_time nextAttempt{};
};

/** Assignment of a range of keys as in the ownership record, and the state of the orders for it. */
struct assignment {
    /** Identifies the assignment until it is split or joined. */
    std::uint64_t serial = 0;
    key_range keys;
    endpoint_incarnation owner;
    /** First of the tokens that are reserved for grants to the owner. */
    fencing_token token;
    /** Number of these tokens that may have been sent. */
    std::uint32_t tokensSent = 0;
    fencing_token releaseToken;
    bool settled = false;
    time_span unservedFor{};
    std::vector<other_holder> otherHolders;

    /** Revision of the record that first contains the owner and the tokens; no order based on them is sent before it is written. */
    std::uint64_t changedInRevision = 0;
    /** Replaced grants that are renewed until that revision is written. */
    std::vector<held_grant> renewUntilWritten;

    std::optional<order_id> grantOrder;
    monotonic_time nextGrant{};
    /** A grant may have been sent to the owner, which may therefore hold the keys. */
    bool grantSent = false;
    /** Connection on which the newest token was accepted; nullopt if the next grant needs a new token. */
    std::optional<connection_number> grantedOn;
    /** A grant was accepted, and no later one failed. */
    bool renewedWithoutGap = false;
    /** The owner rejected a grant because it has seen a higher token. */
    bool superseded = false;
    std::string handover;
    /** Not moved to balance load before this time. */
    monotonic_time movableFrom{};

    bool hasOwner() const noexcept
    {
        return !owner.endpoint.value().empty();
    }

    /** Returns the newest token that may have been sent. Precondition: tokensSent is not 0. */
    fencing_token newestToken() const noexcept
    {
        return fencing_token(token.value() + tokensSent - 1);
    }

    void addOtherHolder(const endpoint_incarnation &incarnation);
};

/** Returns the form of the assignment that is stored in the record. */
key_assignment toRecord(const assignment &from);

/** Returns the assignment that a record describes, as if its grant had been sent. */
assignment fromRecord(const key_assignment &from, std::uint64_t serial);

/** Returns the part @p keys of @p whole, with the serial @p serial and without orders in flight. */
assignment partOf(const assignment &whole, key_range keys, std::uint64_t serial);

} // namespace sycamoretray::detail
