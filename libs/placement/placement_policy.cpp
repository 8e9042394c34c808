#include "placement/placement_policy.h"

namespace sycamoretray
{

slot_owners fillUnowned(const placement_policy &policy, const slot_owners &owners, const placement_servers &servers)
{
    return std::visit(
        [&](const auto &p) {
            return p.fillUnowned(owners, servers);
        },
        policy);
}

slot_owners balance(const placement_policy &policy, const slot_owners &owners, const placement_servers &servers)
{
    return std::visit(
        [&](const auto &p) {
            return p.balance(owners, servers);
        },
        policy);
}

} // namespace sycamoretray
