#include "key_ownership/detail/key_assigner_impl.h"

namespace sycamoretray
{

void key_assigner::holdMoves(bool hold)
{
    d->movesHeld = hold;
}

endpoint_reach key_assigner::reach(monotonic_time now) const
{
    endpoint_reach result;
    for (const listed_endpoint &endpoint : d->endpoints) {
        if (endpoint.evacuatedSince) {
            continue;
        }
        ++result.endpoints;
        if (d->responsiveness.isUnresponsive(endpoint.entry.incarnation)) {
            result.unresponsive.push_back(endpoint.entry.incarnation.endpoint);
        }
    }
    for (const detail::assignment &each : d->assignments) {
        if (each.hasOwner() && each.settled && d->expiries.expiry(each.owner) <= now) {
            result.lapsedKeys += each.keys.last - each.keys.first + 1;
        }
    }
    return result;
}

} // namespace sycamoretray
