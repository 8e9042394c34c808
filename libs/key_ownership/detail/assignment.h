#pragma once

#include "key_ownership/assigner_actions.h"
#include "key_ownership/ownership_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sycamoretray::detail
{

/** A grant that an endpoint has, whatever the newest decision says. */
struct held_grant {
    endpoint_life life;
    key_range keys;
    fencing_token token;
};

/** A life that may hold the keys of an assignment besides its owner. */
struct clearing_holder {
    endpoint_life life;
    std::optional<order_id> order;
    monotonic_time nextAttempt{};
};

/** A range of keys, its place in the ownership record, and the orders that are under way for it. */
struct assignment {
    std::uint64_t serial = 0;
    key_range keys;
    endpoint_life owner;
    fencing_token token;
    fencing_token releaseToken;
    bool settled = false;
    time_span lapse{};
    std::vector<clearing_holder> holders;

    /** Revision of the record that first contains the owner and the tokens; no order follows from them before it is written. */
    std::uint64_t changedIn = 0;
    /** Grants that are kept alive until then. */
    std::vector<held_grant> renewUntilWritten;

    std::optional<order_id> grantOrder;
    monotonic_time nextGrant{};
    /** The owner may hold the keys. */
    bool grantSent = false;
    /** The last grant was accepted, and no later one failed. */
    bool intact = false;
    /** The owner has seen a higher token. */
    bool superseded = false;
    std::string handover;
    /** Not moved for balance before this time. */
    monotonic_time movableFrom{};

    bool hasOwner() const noexcept
    {
        return !owner.endpoint.value().empty();
    }

    void addHolder(const endpoint_life &life);
};

/** Returns the assignment as it stands in the record. */
key_assignment toRecord(const assignment &from);

/** Returns the assignment that a record describes. Its orders may have been sent. */
assignment fromRecord(const key_assignment &from, std::uint64_t serial);

/** Returns the part @p keys of @p whole, with a serial of its own and without orders under way. */
assignment partOf(const assignment &whole, key_range keys, std::uint64_t serial);

} // namespace sycamoretray::detail
