#pragma once

#include "base/ids.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoretray
{

/** An instance that can be the permit coordinator of endpoints. */
struct coordinator_candidate {
    network_address address;
    /** Share of the queues relative to other instances of the zone; proportional to the processor share of the instance. */
    double weight = 1;

    friend bool operator==(const coordinator_candidate &, const coordinator_candidate &) = default;
};

/** Running instances of each availability zone. */
using coordinator_candidates = std::map<availability_zone, std::vector<coordinator_candidate>>;

/** Number of instances in all zones. Thread-safe. */
std::size_t candidateCount(const coordinator_candidates &candidates) noexcept;

/**
 * Returns true if the site has so many instances that they have to coordinate: without permits they would overflow the queues of
 * endpoints, and without chains of relays each change would be transferred many times. The requests of fewer instances fit into
 * the endpoints' queues. Thread-safe.
 */
bool isLargeSite(const coordinator_candidates &candidates) noexcept;

/**
 * Returns the instances with at least half of the largest weight in their zone, as coordinators of queues with a high request
 * rate: about 200 permit requests a second use a tenth of a processor core. Thread-safe.
 */
coordinator_candidates strongestCandidates(const coordinator_candidates &candidates);

/**
 * Ranks the instances of @p zone as coordinators of the queue @p name by weighted rendezvous hashing. Instances with the same
 * candidates get the same ranking without communication, and a change of one instance moves only the queues that it gains or
 * loses.
 *
 * @return at most @p maxCount addresses, best first; from all zones if @p zone has no instance
 *
 * Thread safety: thread-safe.
 */
std::vector<network_address> rankCoordinators(const coordinator_candidates &candidates,
                                              const availability_zone &zone,
                                              std::string_view name,
                                              std::size_t maxCount);

/** Encodes the instances of one zone as CBOR. Thread-safe. */
std::string encodeCandidates(const std::vector<coordinator_candidate> &candidates);

/** Decodes the result of encodeCandidates(). Does not throw; returns an empty list if @p data is malformed. Thread-safe. */
std::vector<coordinator_candidate> decodeCandidates(std::string_view data);

} // namespace sycamoretray
