#include "key_ownership/detail/assignment.h"

#include <algorithm>

namespace sycamoretray::detail
{

void assignment::addOtherHolder(const endpoint_incarnation &incarnation)
{
    const bool known = std::any_of(otherHolders.begin(), otherHolders.end(), [&](const other_holder &holder) {
        return holder.incarnation == incarnation;
    });
    if (!known) {
        otherHolders.push_back({ incarnation, std::nullopt, {} });
    }
}

key_assignment toRecord(const assignment &from)
{
    key_assignment result;
    result.keys = from.keys;
    result.owner = from.owner;
    result.token = from.token;
    result.releaseToken = from.releaseToken;
    result.settled = from.settled;
    result.unservedFor = from.unservedFor;
    for (const other_holder &holder : from.otherHolders) {
        result.otherHolders.push_back(holder.incarnation);
    }
    return result;
}

assignment fromRecord(const key_assignment &from, std::uint64_t serial)
{
    assignment result;
    result.serial = serial;
    result.keys = from.keys;
    result.owner = from.owner;
    result.token = from.token;
    result.releaseToken = from.releaseToken;
    result.settled = from.settled;
    result.unservedFor = from.unservedFor;
    result.grantSent = true;
    for (const endpoint_incarnation &incarnation : from.otherHolders) {
        result.addOtherHolder(incarnation);
    }
    return result;
}

assignment partOf(const assignment &whole, key_range keys, std::uint64_t serial)
{
    assignment part = whole;
    part.serial = serial;
    part.keys = keys;
    part.grantOrder.reset();
    for (other_holder &holder : part.otherHolders) {
        holder.order.reset();
    }
    part.renewUntilWritten.clear();
    for (held_grant held : whole.renewUntilWritten) {
        held.keys.first = std::max(held.keys.first, keys.first);
        held.keys.last = std::min(held.keys.last, keys.last);
        if (held.keys.first <= held.keys.last) {
            part.renewUntilWritten.push_back(held);
        }
    }
    return part;
}

} // namespace sycamoretray::detail
