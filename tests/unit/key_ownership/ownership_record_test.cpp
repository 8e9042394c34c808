#include "key_ownership/ownership_record.h"
#include "key_ownership/ownership_view.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

namespace
{

ownership_record sample()
{
    const endpoint_life a{ endpoint_id("a"), 5, network_address("10.0.0.1:80") };
    const endpoint_life b{ endpoint_id("b"), 6, network_address("10.0.0.2:80") };
    ownership_record record;
    record.service = service_id("s");
    record.epoch = 3;
    record.revision = 9;
    record.assigner = network_address("10.1.0.1:7000");
    record.instances = 8;
    record.nextToken = 40;
    record.assignments.push_back({ { 0, 99 }, a, fencing_token(7), {}, fencing_token(6), true, {} });
    record.assignments.push_back({ { 100, keyCount - 1 }, b, fencing_token(39), { a }, fencing_token(38), false, std::chrono::milliseconds(1200) });
    return record;
}

} // namespace

Test(ownership_record, survives_encoding)
{
    const auto decoded = decodeOwnershipRecord(encodeOwnershipRecord(sample()));
    cr_assert(decoded.has_value());
    cr_expect_eq(decoded->epoch, 3U);
    cr_expect_eq(decoded->revision, 9U);
    cr_expect_eq(decoded->nextToken, 40U);
    cr_assert_eq(decoded->assignments.size(), 2U);
    const key_assignment &second = decoded->assignments[1];
    cr_expect_eq(second.keys.first, 100U);
    cr_expect(second.owner.endpoint == endpoint_id("b"));
    cr_assert_eq(second.otherHolders.size(), 1U);
    cr_expect(second.otherHolders[0].address == network_address("10.0.0.1:80"));
    cr_expect(second.lapse == std::chrono::milliseconds(1200));
}

// Guards against records that leave keys out, or hold them twice.
Test(ownership_record, refuses_what_does_not_cover_every_key_once)
{
    ownership_record gap = sample();
    gap.assignments.pop_back();
    cr_expect_not(decodeOwnershipRecord(encodeOwnershipRecord(gap)).has_value());
    cr_expect_not(decodeOwnershipRecord("no cbor").has_value());
    cr_expect_not(decodeOwnershipRecord("").has_value());
}

// Guards against a return to older owners when records arrive twice or out of order.
Test(ownership_view, keeps_the_newest_record)
{
    ownership_view view;
    cr_expect(view.apply(sample()));
    ownership_record older = sample();
    older.revision = 8;
    cr_expect_not(view.apply(older));
    older.epoch = 2;
    older.revision = 100;
    cr_expect_not(view.apply(older));
    cr_expect(view.find(service_id("s"), key_number(99)).owner.endpoint == endpoint_id("a"));
    cr_expect(view.find(service_id("s"), key_number(100)).owner.endpoint == endpoint_id("b"));
    cr_expect_not(view.find(service_id("other"), key_number(1)).known);
}
