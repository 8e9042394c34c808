#include "routing/hash_slots.h"
#include "routing/routing_table.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

namespace
{

routed_service serviceWithPrefix(const std::string &name, const std::string &prefix)
{
    routed_service result;
    result.service.name = service_id(name);
    result.service.pathPrefix = prefix;
    return result;
}

} // namespace

// Guards against routing a request to the service of another team because its path starts with the same letters.
Test(routing_table, prefix_matches_at_segment_boundary_only)
{
    const routing_table table(log_offset(1), { serviceWithPrefix("drums", "/drums"), serviceWithPrefix("archive", "/drums/archive") }, {});
    cr_assert_not_null(table.findService("/drums/d1"));
    cr_expect(table.findService("/drums/d1")->service.name == service_id("drums"));
    cr_expect(table.findService("/drums/archive/d1")->service.name == service_id("archive"));
    cr_expect_null(table.findService("/drumsticks"));
}

// Guards against an exception entry that is ignored, so that a hot key is routed to the owner of its slot.
Test(routing_table, exception_takes_precedence_over_slot_owner)
{
    routed_service service = serviceWithPrefix("drums", "/drums");
    service.servers.resize(2);
    service.slotOwner.assign(hashSlotCount, 0);
    service.keyOwner.emplace("hot", std::uint16_t{ 1 });
    cr_expect(routing_table::findOwner(service, "hot") == &service.servers[1]);
    cr_expect(routing_table::findOwner(service, "cold") == &service.servers[0]);
    service.slotOwner[slotOfKey("cold").value()] = routed_service::noOwner;
    cr_expect_null(routing_table::findOwner(service, "cold"));
}
