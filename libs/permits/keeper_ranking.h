#pragma once

#include "base/ids.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

/** An instance that can keep queues of endpoints. */
struct keeper_candidate {
    network_address address;
    /** Share of the queues relative to other instances of the zone, by processor. */
    double weight = 1;

    friend bool operator==(const keeper_candidate &, const keeper_candidate &) = default;
};

/** Live instances of each availability zone. */
using keeper_candidates = std::map<availability_zone, std::vector<keeper_candidate>>;

/** Number of instances in all zones. Thread-safe. */
std::size_t candidateCount(const keeper_candidates &candidates) noexcept;

/**
 * The site has so many instances that they have to coordinate: without permits they would overfill endpoints, and without chains of
 * relays they would pay for each change many times. With fewer, their requests fit into the endpoints' queues. Thread-safe.
 */
bool isLargeSite(const keeper_candidates &candidates) noexcept;

/**
 * Returns the instances with at least half of the weight of the strongest in their zone, for queues that many requests pass: a tenth
 * of a core is used up by some 200 questions a second. Thread-safe.
 */
keeper_candidates strongestCandidates(const keeper_candidates &candidates);

/**
 * Ranks the instances of @p zone as keepers of the queue @p name: weighted rendezvous hashing, so that instances agree without
 * talking to each other, and a change of one instance moves only the queues that it gains or loses.
 *
 * @return the addresses, best first, at most @p most; of all zones if @p zone has no instance
 *
 * Thread safety: thread-safe.
 */
std::vector<network_address> rankKeepers(const keeper_candidates &candidates, const availability_zone &zone, std::string_view name, std::size_t most);

/** Encodes the instances of one zone as CBOR. Thread-safe. */
std::string encodeCandidates(const std::vector<keeper_candidate> &candidates);

/** Decodes what encodeCandidates() returned; throws nothing, and returns an empty list if @p data is malformed. Thread-safe. */
std::vector<keeper_candidate> decodeCandidates(std::string_view data);

} // namespace sycamoretray
