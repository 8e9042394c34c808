#include "sycamoretrayd/gateway/upstream_relay.h"

#include <criterion/criterion.h>

#include <string>

using namespace sycamoretray;

namespace
{

const network_address self("10.0.0.1:1");

ownership_view assignedBy(const char *assigner, std::uint64_t epoch, bool resigned = false)
{
    ownership_record record;
    record.service = service_id("s");
    record.epoch = epoch;
    record.revision = 1;
    record.assigner = network_address(assigner);
    record.resigned = resigned;
    record.assignments.push_back({ { 0, keyCount - 1 }, {}, fencing_token(1), {}, fencing_token(), true, {} });
    ownership_view view;
    view.apply(record);
    return view;
}

coordinator_candidates instances(std::size_t count)
{
    coordinator_candidates result;
    for (std::size_t i = 0; i < count; ++i) {
        result[availability_zone("z")].push_back({ network_address("10.1.0." + std::to_string(i) + ":1"), 0.1 });
    }
    return result;
}

} // namespace

Test(upstream_relay, relays_of_large_sites_read_from_the_assigner)
{
    const auto upstream = upstreamRelay(assignedBy("10.0.0.2:1", 3), instances(16), self);
    cr_assert(upstream.has_value());
    cr_expect_eq(*upstream, network_address("10.0.0.2:1"));
}

// Guards against a chain of relays that adds a delay without saving store calls, and against a relay that reads from itself or from an
// instance that is not the assigner.
Test(upstream_relay, relays_without_an_upstream_read_the_store)
{
    cr_expect_not(upstreamRelay(assignedBy("10.0.0.2:1", 3), instances(15), self).has_value(), "few instances");
    cr_expect_not(upstreamRelay(assignedBy("10.0.0.1:1", 3), instances(16), self).has_value(), "the assigner itself");
    cr_expect_not(upstreamRelay(assignedBy("10.0.0.2:1", 3, true), instances(16), self).has_value(), "resigned");
    cr_expect_not(upstreamRelay({}, instances(16), self).has_value(), "no assigner");
}
