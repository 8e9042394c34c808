#include "key_ownership/detail/assignment.h"

#include <algorithm>

namespace sycamoretray::detail
{

void assignment::addHolder(const endpoint_life &life)
{
    const bool known = std::any_of(holders.begin(), holders.end(), [&](const clearing_holder &holder) {
        return holder.life == life;
    });
    if (!known) {
        holders.push_back({ life, std::nullopt, {} });
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
    result.lapse = from.lapse;
    for (const clearing_holder &holder : from.holders) {
        result.otherHolders.push_back(holder.life);
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
    result.lapse = from.lapse;
    result.grantSent = true;
    for (const endpoint_life &life : from.otherHolders) {
        result.addHolder(life);
    }
    return result;
}

assignment partOf(const assignment &whole, key_range keys, std::uint64_t serial)
{
    assignment part = whole;
    part.serial = serial;
    part.keys = keys;
    part.grantOrder.reset();
    for (clearing_holder &holder : part.holders) {
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
